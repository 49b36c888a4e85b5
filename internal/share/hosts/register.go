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
	// staleAfter is how long a host must be dead before its registration is removed.
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

// Register chooses the incarnation of this start and writes the registration. If
// the table is unreachable, the incarnation comes from the wall clock alone and
// Run keeps retrying. Call it before the link starts.
func (n *Node) Register(ctx context.Context) int64 {
	n.Self.Incarnation = int64(n.Clock.Wall())
	if err := n.register(ctx); err != nil {
		n.Log.Warn("Registration failed, will be retried.", "error", err)
	}
	return n.Self.Incarnation
}

// Registered reports whether the registration was in the table at the last check.
func (n *Node) Registered() bool {
	return n.registered.Load()
}

// register writes the registration unless it is in the table already. Before the
// first write, the incarnation is raised above that of the previous start.
func (n *Node) register(ctx context.Context) error {
	kind := registrationKind(n.Self.FailureDomain)
	existing, err := n.Table.Get(ctx, kind, n.Self.Name)
	condition := table.IfToken(existing.Token)
	switch {
	case errors.Is(err, table.ErrNotFound):
		condition = table.IfAbsent()
	case err != nil:
		return err
	case existing.Token == n.token:
		n.registered.Store(true)
		return nil
	}
	if n.token == "" {
		n.raiseIncarnation(existing)
	}
	n.token = table.NewToken()
	body, err := json.Marshal(registration{
		n.Self.Name, n.Self.FailureDomain, n.Self.Region, n.Self.Address, n.Self.Incarnation,
	})
	if err != nil {
		return err
	}
	err = n.Table.Put(
		ctx, table.Record{Kind: kind, Name: n.Self.Name, Token: n.token, Body: body}, condition,
	)
	n.registered.Store(err == nil)
	return err
}

// raiseIncarnation sets the incarnation above that of an earlier start. It does
// nothing once the core exists: the link then uses the incarnation.
func (n *Node) raiseIncarnation(existing table.Record) {
	var r registration
	if n.core == nil && json.Unmarshal(existing.Body, &r) == nil &&
		r.Incarnation >= n.Self.Incarnation {
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
				n.Log.Warn("Registration could not be decoded.", "host", record.Name, "error", err)
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

// rollStates maps the states of the platform's list to membership states.
var rollStates = map[disco.State]chart.State{
	disco.StateLive: StateAlive, disco.StateLeaving: StateLeaving,
}

// readList returns the entry hosts on the platform's list.
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

// removeStale removes the registrations of hosts that have been dead for longer
// than staleAfter and that the platform no longer lists. One host of the domain
// does this. A host that is only partitioned from this one must stay registered,
// since its registration counts when its domain confirms a manifest; nothing is
// removed while the list cannot be read.
func (n *Node) removeStale(ctx context.Context, all []registered) {
	domain := n.Self.FailureDomain
	if cleaner, ok := RendezvousWinner(
		registrationKind(domain), n.View().Eligible(domain),
	); !ok || cleaner.Name != n.Self.Name {
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
		if !n.isStale(r.host.Name) || containsHost(listed, r.host.Name) {
			continue
		}
		if err := n.Table.Delete(
			ctx, registrationKind(domain), r.host.Name, table.IfToken(r.token),
		); err != nil {
			n.Log.Warn("Removing a stale registration failed.", "host", r.host.Name, "error", err)
		}
	}
}

func containsHost(listed []disco.Entry, host string) bool {
	return slices.ContainsFunc(listed, func(e disco.Entry) bool {
		return e.Kind == disco.KindHost && e.Name == host
	})
}

func (n *Node) isStale(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.core.members[name]
	return ok && m.State == StateDead && n.Clock.Now()-m.stateSince > staleAfter
}
