// Package chart loads finite state machines from files, so that the file, the
// code and the model in spec/ use the same states and events.
//
// A chart file is JSON with comments:
//
//	{
//	  "Name": "Door",
//	  "Initial": "Shut",
//	  "States": {
//	    // Each event has the next state and the actions to perform.
//	    "Shut": {"On": {"Push": {"To": "Open", "Do": ["RingBell"]}}},
//	    "Open": {"Final": true},
//	  },
//	}
//
// # Usage
//
//	//go:embed door.chart.hujson
//	var doorFile []byte
//	var door = chart.MustParse("door.chart.hujson", doorFile)
//
//	transition, err := door.Step("Shut", "Push") // transition.To == "Open"
package chart

import (
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// State names a state of a chart.
type State string

// Event names an input of a chart.
type Event string

// Action names what the caller has to do on a transition.
type Action string

// Transition is the next state and the actions to perform, in order.
type Transition struct {
	To State
	Do []Action
}

// Node defines one state: its transitions by event, and whether it is final.
type Node struct {
	On    map[Event]Transition
	Final bool
}

// Chart is a parsed state machine. It is immutable and does not hold a current
// state.
type Chart struct {
	Name    string
	Initial State
	States  map[State]Node
}

// Parse parses a chart and checks that the initial state and the target of each
// transition exist and that final states have no events. file is used in errors.
func Parse(file string, text []byte) (*Chart, error) {
	standard, err := hujson.Standardize(append([]byte(nil), text...))
	if err != nil {
		return nil, errors.Wrapf(err, "chart %s", file)
	}
	c := &Chart{}
	if err := json.Unmarshal(standard, c); err != nil {
		return nil, errors.Wrapf(err, "chart %s", file)
	}
	return c, c.check(file)
}

// MustParse is like Parse but panics on an error. It is for charts embedded in
// the program.
func MustParse(file string, text []byte) *Chart {
	c, err := Parse(file, text)
	if err != nil {
		panic(err)
	}
	return c
}

func (c *Chart) check(file string) error {
	if _, ok := c.States[c.Initial]; !ok {
		return errors.Newf("chart %s: initial state %q does not exist", file, c.Initial)
	}
	for _, name := range c.Names() {
		node := c.States[name]
		if node.Final && len(node.On) > 0 {
			return errors.Newf("chart %s: final state %q has events", file, name)
		}
		for event, transition := range node.On {
			if _, ok := c.States[transition.To]; !ok {
				return errors.Newf("chart %s: state %q on %q goes to %q, which does not exist", file, name, event, transition.To)
			}
		}
	}
	return nil
}

// Names returns the states in alphabetical order.
func (c *Chart) Names() []State {
	names := make([]State, 0, len(c.States))
	for name := range c.States {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// Step returns the transition for an event in a state. If the state does not
// exist or does not accept the event, it returns an error and a Transition to the
// same state without actions.
func (c *Chart) Step(from State, event Event) (Transition, error) {
	node, ok := c.States[from]
	if !ok {
		return Transition{To: from}, errors.Newf("chart %s has no state %q", c.Name, from)
	}
	transition, ok := node.On[event]
	if !ok {
		return Transition{To: from}, errors.Newf("chart %s: state %q does not accept event %q", c.Name, from, event)
	}
	return transition, nil
}

// Final reports whether the state is final.
func (c *Chart) Final(s State) bool {
	return c.States[s].Final
}
