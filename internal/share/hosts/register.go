package hosts

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinsaddle/internal/base/chart"
	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/disco"
	"siskinsaddle/internal/plat/table"
)

const (
	registrationPage = 200
	// staleAfter is how long a host is dead before its registration is removed.
	staleAfter = 10 * clock.Minute
)

// registration is the body of a record of kind "Host/<failure domain>".
type registration struct {
	Name          string
	FailureDomain string
	Region        string
	Address       string
	Incarnation   int64
}

func registrationKind(domain string) string { return "Host/" + domain }

// Register chooses this start's incarnation and writes the registration. Where
// the table cannot be reached, the incarnation rests on the wall clock alone
// and Run goes on trying. It is called before the link starts.
func (n *Node) Register(ctx context.Context) int64 {
	n.Self.Incarnation = int64(n.Clock.Wall())
	if err := n.register(ctx); err != nil {
		n.Log.Warn("Registration failed, it is tried again.", "error", err)
	}
	return n.Self.Incarnation
}

// Registered tells whether the registration stood in the table when last seen.
func (n *Node) Registered() bool {
	return n.registered.Load()
}

// register writes the registration unless it stands. Before the first success
// the incarnation is raised above that of the last start.
func (n *Node) register(ctx context.Context) error {
	kind := registrationKind(n.Self.FailureDomain)
	held, err := n.Table.Get(ctx, kind, n.Self.Name)
	condition := table.IfToken(held.Token)
	switch {
	case errors.Is(err, table.ErrAbsent):
		condition = table.IfAbsent()
	case err != nil:
		return err
	case held.Token == n.token:
		n.registered.Store(true)
		return nil
	}
	if n.token == "" {
		n.raise(held)
	}
	n.token = table.NewToken()
	body, err := json.Marshal(registration{
		n.Self.Name, n.Self.FailureDomain, n.Self.Region, n.Self.Address, n.Self.Incarnation,
	})
	if err != nil {
		return err
	}
	err = n.Table.Put(ctx, table.Record{Kind: kind, Name: n.Self.Name, Token: n.token, Body: body}, condition)
	n.registered.Store(err == nil)
	return err
}

// raise sets the incarnation above the one of an earlier start. Once the link
// runs, the incarnation stays.
func (n *Node) raise(held table.Record) {
	var r registration
	if n.core == nil && json.Unmarshal(held.Body, &r) == nil && r.Incarnation >= n.Self.Incarnation {
		n.Self.Incarnation = r.Incarnation + 1
	}
}

// Registrations lists the registered hosts of a failure domain.
func (n *Node) Registrations(ctx context.Context, domain string) ([]Host, error) {
	records, err := n.registrations(ctx, domain)
	if err != nil {
		return nil, err
	}
	var hosts []Host
	for _, r := range records {
		hosts = append(hosts, r.host)
	}
	return hosts, nil
}

type registered struct {
	host  Host
	token string
}

func (n *Node) registrations(ctx context.Context, domain string) ([]registered, error) {
	var all []registered
	for after := ""; ; {
		page, err := n.Table.List(ctx, registrationKind(domain), after, registrationPage)
		if err != nil {
			return nil, err
		}
		for _, record := range page.Records {
			var r registration
			if err := json.Unmarshal(record.Body, &r); err != nil {
				n.Log.Warn("Registration cannot be read.", "host", record.Name, "error", err)
				continue
			}
			all = append(all, registered{
				host: Host{
					Name: r.Name, FailureDomain: r.FailureDomain, Region: r.Region,
					Address: r.Address, Incarnation: r.Incarnation, State: StateAlive,
				},
				token: record.Token,
			})
		}
		if page.Next == "" {
			return all, nil
		}
		after = page.Next
	}
}

// rollStates translates the platform's states.
var rollStates = map[disco.State]chart.State{disco.StateLive: StateAlive, disco.StateLeaving: StateLeaving}

// readList returns the hosts on the platform's list.
func (n *Node) readList(ctx context.Context) ([]Host, error) {
	if n.List.Read == nil {
		return nil, nil
	}
	entries, err := n.List.Read(ctx)
	if err != nil {
		return nil, err
	}
	var hosts []Host
	for _, e := range entries {
		if e.Kind != disco.KindHost {
			continue
		}
		hosts = append(hosts, Host{
			Name: e.Name, FailureDomain: e.FailureDomain, Region: e.Region,
			Address: e.Address, State: rollStates[e.State],
		})
	}
	return hosts, nil
}

// clean removes the registrations of hosts that have long been dead and that
// the platform no longer lists. One host of the domain does it. A host that is
// only cut off from this one stays registered, since its registration counts
// when its domain confirms a manifest; so nothing is removed while the list
// cannot be read.
func (n *Node) clean(ctx context.Context, all []registered) {
	domain := n.Self.FailureDomain
	if cleaner, ok := Winner(registrationKind(domain), n.View().Duty(domain)); !ok || cleaner.Name != n.Self.Name {
		return
	}
	var listed []disco.Entry
	if n.List.Read != nil {
		entries, err := n.List.Read(ctx)
		if err != nil {
			return
		}
		listed = entries
	}
	for _, r := range all {
		if !n.isStale(r.host.Name) || names(listed, r.host.Name) {
			continue
		}
		if err := n.Table.Delete(ctx, registrationKind(domain), r.host.Name, table.IfToken(r.token)); err != nil {
			n.Log.Warn("Stale registration was not removed.", "host", r.host.Name, "error", err)
		}
	}
}

func names(listed []disco.Entry, host string) bool {
	return slices.ContainsFunc(listed, func(e disco.Entry) bool {
		return e.Kind == disco.KindHost && e.Name == host
	})
}

func (n *Node) isStale(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.core.members[name]
	return ok && m.State == StateDead && n.Clock.Now()-m.since > staleAfter
}
