// Package cloud is a stand-in for the platform: a table service that speaks a
// subset of the DynamoDB API, an object store that speaks a subset of the S3
// API, and the list of live and leaving machines.
//
//	POST /                       X-Amz-Target: DynamoDB_20120810.<call>
//	PUT, GET, HEAD, DELETE /bucket/key
//	GET /hosts                   the list, as JSON of disco.Entry
//	PUT /hosts                   adds or replaces one disco.Entry
//	DELETE /hosts?name=N         removes the entry with this name
//	GET /counts                  Counts as JSON
//	GET, POST /faults            Faults as JSON; omitted fields keep their values
//
// The table service supports GetItem, PutItem, DeleteItem, Query, CreateTable and
// DescribeTable. A ConditionExpression of PutItem and DeleteItem may contain
// comparisons, attribute_exists, attribute_not_exists, begins_with, AND, OR and
// NOT. A table that is used without CreateTable gets the key attributes KeyNames.
//
// # Usage
//
//	c := &cloud.Cloud{}
//	err := c.Start()
//	defer c.Stop()
//	c.SetFaults(cloud.Faults{LoseAnswersAfterWrite: 1}) // loses the next write's response
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
	"siskinsaddle/internal/fakes/spoil"
	"siskinsaddle/internal/plat/disco"
)

// Faults are the faults to inject. The zero value of a field injects none.
type Faults struct {
	// Down resets the connection of each table and object call.
	Down bool
	// HostsDown resets the connection of each read of the list of machines.
	HostsDown bool
	// SlowMilliseconds delays each table and object call before it takes effect.
	SlowMilliseconds clock.Millis
	// LoseAnswersAfterWrite drops the responses of this many table and object
	// writes after they took effect. -1 drops all.
	LoseAnswersAfterWrite int
	// LoseRequestsBeforeWrite drops this many writes before they take effect.
	// -1 drops all.
	LoseRequestsBeforeWrite int
	// Throttle rejects each table and object call with the API's throttling error.
	Throttle bool
	// HostsLagMilliseconds makes reads of the list of machines return its state
	// this long ago.
	HostsLagMilliseconds clock.Millis
	// BreakAnswers breaks all responses in that way, except those about faults.
	BreakAnswers spoil.Kind
}

// Counts are totals of calls since the start. Refused counts the calls that Down,
// Throttle or a lost request stopped; Conflicts counts failed conditions.
type Counts struct {
	TableReads   int
	TableWrites  int
	Conflicts    int
	ObjectReads  int
	ObjectWrites int
	HostReads    int
	Refused      int
}

// Cloud is the platform's stand-in. The exported fields are set before Start.
type Cloud struct {
	// ListenAddress is "IP:port"; by default 127.0.0.1 with a free port.
	ListenAddress string
	// KeyNames are the key attributes of tables that were not created with
	// CreateTable; by default "Kind" and "Name".
	KeyNames []string
	Clock    clock.Clock

	front *front.Server

	mu      sync.Mutex
	faults  Faults
	counts  Counts
	tables  map[string]*tableData
	objects map[string]object
	// snapshots are the versions of the list of machines, oldest first.
	snapshots []listSnapshot
}

// listSnapshot is the list of machines as it stands from a point in time on.
type listSnapshot struct {
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

// Faults returns the current faults.
func (c *Cloud) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// SetFaults replaces the faults.
func (c *Cloud) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// PatchFaults updates the faults from JSON; omitted fields keep their values.
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

// SetEntry adds a machine to the list, or replaces the entry with the same name.
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

// RemoveEntry removes the machine with this name from the list.
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

// changeList appends a snapshot with the changed list of machines.
func (c *Cloud) changeList(change func([]disco.Entry) []disco.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var entries []disco.Entry
	if n := len(c.snapshots); n > 0 {
		entries = append(entries, c.snapshots[n-1].entries...)
	}
	c.snapshots = append(c.snapshots, listSnapshot{from: c.Clock.Now(), entries: change(entries)})
}

// Entries returns the list of machines, delayed by HostsLagMilliseconds.
func (c *Cloud) Entries() []disco.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	visible := []disco.Entry{}
	for _, l := range c.snapshots {
		if l.from > c.Clock.Now()-c.faults.HostsLagMilliseconds {
			break
		}
		visible = l.entries
	}
	return visible
}
