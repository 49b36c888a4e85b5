// Package chart interprets state charts that stand in files, so that the file,
// the code and the model in spec/ name the same states and events.
//
// A chart file is JSON with comments:
//
//	{
//	  "Name": "Door",
//	  "Initial": "Shut",
//	  "States": {
//	    // Each event names the next state and the actions to carry out.
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
//	move, err := door.Step("Shut", "Push") // move.To == "Open"
package chart

import (
	"encoding/json"
	"sort"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
)

// State names a state of a chart.
type State string

// Event names what can happen to a chart.
type Event string

// Action names what the caller carries out on a move.
type Action string

// Move is the outcome of one event.
type Move struct {
	To State
	Do []Action
}

// Node is one state as written in the file.
type Node struct {
	On    map[Event]Move
	Final bool
}

// Chart is a parsed chart. It does not change after Parse.
type Chart struct {
	Name    string
	Initial State
	States  map[State]Node
}

// Parse reads a chart and checks that each named state exists and that final
// states have no events.
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

// MustParse is Parse for charts that are embedded in the program.
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
		for event, move := range node.On {
			if _, ok := c.States[move.To]; !ok {
				return errors.Newf("chart %s: state %q on %q goes to %q, which does not exist", file, name, event, move.To)
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

// Step returns the move for an event. An event that the state does not name is
// an error, and the chart stays where it is.
func (c *Chart) Step(from State, event Event) (Move, error) {
	node, ok := c.States[from]
	if !ok {
		return Move{To: from}, errors.Newf("chart %s has no state %q", c.Name, from)
	}
	move, ok := node.On[event]
	if !ok {
		return Move{To: from}, errors.Newf("chart %s: state %q does not take event %q", c.Name, from, event)
	}
	return move, nil
}

// Final tells whether the chart ends in this state.
func (c *Chart) Final(s State) bool {
	return c.States[s].Final
}
