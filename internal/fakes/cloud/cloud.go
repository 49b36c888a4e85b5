// Package cloud is a stand-in for the platform: a table service that speaks a
// subset of the DynamoDB API, an object store that speaks a subset of the S3
// API, and the list of live and leaving machines.
//
//	POST /                       X-Amz-Target: DynamoDB_20120810.<call>
//	PUT, GET, HEAD, DELETE /bucket/key
//	GET /hosts                   the list, as JSON of disco.Entry
//	PUT /hosts                   adds or replaces one disco.Entry
//	DELETE /hosts?name=N         removes an entry
//	GET /counts                  Counts as JSON
//	GET, POST /faults            Faults as JSON; fields left out stay
//
// The calls of the table are GetItem, PutItem, DeleteItem, Query, CreateTable
// and DescribeTable; PutItem and DeleteItem take a ConditionExpression made of
// comparisons, attribute_exists, attribute_not_exists, begins_with, AND, OR
// and NOT. A table that nobody created has the keys of the field KeyNames.
//
// # Usage
//
//	c := &cloud.Cloud{}
//	err := c.Start()
//	defer c.Stop()
//	c.SetFaults(cloud.Faults{LoseAnswersAfterWrite: 1}) // the next write's answer is lost
//	c.SetEntry(disco.Entry{Name: "canvas-llm-1", ...})
//
// or from a shell:
//
//	curl -X POST http://127.0.0.1:7401/faults -d '{"Down": true}'
package cloud

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/fakes/front"
	"siskinsaddle/internal/plat/disco"
)

// Faults are the platform's faults. The zero value of a field is no fault.
type Faults struct {
	// Down drops each call to the table and the objects.
	Down bool
	// HostsDown drops each call to the list of machines.
	HostsDown bool
	// SlowMilliseconds delays each call before it takes effect.
	SlowMilliseconds clock.Millis
	// LoseAnswersAfterWrite drops the answers of this many writes to the table
	// or the objects, after they took effect. -1 drops all.
	LoseAnswersAfterWrite int
	// LoseRequestsBeforeWrite drops this many writes before they take effect.
	// -1 drops all.
	LoseRequestsBeforeWrite int
	// Throttle refuses each call to the table and the objects.
	Throttle bool
	// HostsLagMilliseconds is the age of the list of machines.
	HostsLagMilliseconds clock.Millis
}

// Counts are totals since the start.
type Counts struct {
	TableReads   int
	TableWrites  int
	Conflicts    int
	ObjectReads  int
	ObjectWrites int
	HostReads    int
	Refused      int
}

// Cloud is the platform. The exported fields are set before Start.
type Cloud struct {
	// ListenAddress is "IP:port"; by default 127.0.0.1 with a free port.
	ListenAddress string
	// KeyNames are the key attributes of tables that nobody created. By
	// default they are "Kind" and "Name".
	KeyNames []string
	Clock    clock.Clock

	front *front.Server

	mu      sync.Mutex
	faults  Faults
	counts  Counts
	tables  map[string]*tableData
	objects map[string]object
	lists   []list
}

// list is the list of machines from a point in time on.
type list struct {
	from    clock.Millis
	entries []disco.Entry
}

// Start opens the listener and serves in the background.
func (c *Cloud) Start() error {
	if c.Clock.Now == nil {
		c.Clock = clock.System()
	}
	if len(c.KeyNames) == 0 {
		c.KeyNames = []string{"Kind", "Name"}
	}
	c.tables = map[string]*tableData{}
	c.objects = map[string]object{}
	c.front = &front.Server{ListenAddress: c.ListenAddress, Handler: c.handle}
	return c.front.Start()
}

// Run starts the platform and stops it when ctx ends.
func (c *Cloud) Run(ctx context.Context) error {
	if err := c.Start(); err != nil {
		return err
	}
	<-ctx.Done()
	c.Stop()
	return nil
}

// Address returns "IP:port" once Start has returned.
func (c *Cloud) Address() string { return c.front.Address() }

// Stop drops every connection and ends the platform.
func (c *Cloud) Stop() { c.front.Stop() }

// Faults returns the faults in force.
func (c *Cloud) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// SetFaults puts all faults in force.
func (c *Cloud) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// PatchFaults reads faults from JSON; fields that are left out stay.
func (c *Cloud) PatchFaults(text []byte) error {
	f := c.Faults()
	if err := json.Unmarshal(text, &f); err != nil {
		return errors.Wrap(err, "faults of the platform")
	}
	c.SetFaults(f)
	return nil
}

// Counts returns the totals so far.
func (c *Cloud) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// SetEntry adds a machine to the list, or replaces the one of its name.
func (c *Cloud) SetEntry(e disco.Entry) {
	c.changeList(func(entries []disco.Entry) []disco.Entry {
		for i := range entries {
			if entries[i].Name == e.Name {
				entries[i] = e
				return entries
			}
		}
		return append(entries, e)
	})
}

// RemoveEntry removes a machine from the list.
func (c *Cloud) RemoveEntry(name string) {
	c.changeList(func(entries []disco.Entry) []disco.Entry {
		kept := entries[:0]
		for _, e := range entries {
			if e.Name != name {
				kept = append(kept, e)
			}
		}
		return kept
	})
}

func (c *Cloud) changeList(change func([]disco.Entry) []disco.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []disco.Entry
	if n := len(c.lists); n > 0 {
		entries = append(entries, c.lists[n-1].entries...)
	}
	c.lists = append(c.lists, list{from: c.Clock.Now(), entries: change(entries)})
}

// Entries returns the list as the faults let it be seen.
func (c *Cloud) Entries() []disco.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	seen := []disco.Entry{}
	for _, l := range c.lists {
		if l.from > c.Clock.Now()-c.faults.HostsLagMilliseconds {
			break
		}
		seen = l.entries
	}
	return seen
}
