package accept

import (
	"slices"
	"sync"
	"sync/atomic"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/share/mfest"
)

// View is what a request is served under. Index is nil where Mode does not
// serve.
type View struct {
	Mode Mode
	// Generation is the last one known to be accepted.
	Generation int64
	Index      *mfest.Index
}

// Serves tells whether requests are served at all.
func (v View) Serves() bool {
	return v.Index != nil
}

// held is a body that was checked and prepared.
type held struct {
	packed []byte
	index  *mfest.Index
}

// state is replaced as a whole, so that View needs no lock.
type state struct {
	knowledge Knowledge
	current   *mfest.Index
	both      *mfest.Index
}

// Holder is a host's view of the manifest. It is safe for concurrent use.
type Holder struct {
	Host   string
	Domain string

	awake *awake
	state atomic.Pointer[state]

	mu       sync.Mutex
	roster   *roster
	bodies   map[Ref]held
	refusals map[Ref]string
	closed   atomic.Bool
	beatAt   clock.Millis
	// awakeSince is since when beats came without a gap.
	awakeSince clock.Millis
}

// NewHolder returns the holder of a host that has just started and knows
// nothing.
func NewHolder(host, domain string, c clock.Clock) *Holder {
	h := &Holder{
		Host: host, Domain: domain,
		awake: &awake{clock: c}, roster: newRoster(), bodies: map[Ref]held{}, refusals: map[Ref]string{},
	}
	now := h.now()
	h.beatAt, h.awakeSince = now, now
	h.state.Store(&state{knowledge: newKnowledge(now)})
	return h
}

func (h *Holder) now() clock.Millis {
	return h.awake.now()
}

func (h *Holder) beat() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now-h.beatAt > PauseLimit {
		h.awakeSince = now
	}
	h.beatAt = now
}

// AwakeSince returns since when this process has run without a pause longer
// than PauseLimit.
func (h *Holder) AwakeSince() clock.Millis {
	h.beat()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.awakeSince
}

// View returns what a request that arrives now is served under. It reads the
// clock, so a host that was paused finds itself not current before it serves
// anything.
func (h *Holder) View() View {
	if h.closed.Load() {
		return View{Mode: ModeNotReady}
	}
	s := h.state.Load()
	v := View{Mode: s.knowledge.Mode(h.now()), Generation: s.knowledge.Accepted.Number}
	switch v.Mode {
	case ModeReady:
		v.Index = s.current
	case ModeBoth:
		v.Index = s.both
	}
	if v.Index == nil && (v.Mode == ModeReady || v.Mode == ModeBoth) {
		v.Mode = ModeNotReady // the body is not here yet
	}
	return v
}

// StillServes tells whether a view that was taken earlier is the present one.
// It is asked just before a request is sent on, so that a pause in between
// does no harm.
func (h *Holder) StillServes(v View) bool {
	now := h.View()
	return now.Serves() && now.Index == v.Index
}

// Close ends serving, before the host tells its peers that it leaves.
func (h *Holder) Close() {
	h.closed.Store(true)
}

// Knowledge returns what the host has learned.
func (h *Holder) Knowledge() Knowledge {
	return h.state.Load().knowledge
}

// Learn adds a sighting.
func (h *Holder) Learn(s Sighting) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.learn(s)
}

func (h *Holder) learn(s Sighting) {
	h.settle(h.state.Load().knowledge.With(s))
}

// settle stores knowledge with the indexes that belong to it and drops bodies
// that are no longer of use.
func (h *Holder) settle(k Knowledge) {
	old := h.state.Load()
	next := &state{knowledge: k, current: h.governs(h.bodies[k.Accepted.Body].index)}
	staged, undecided := k.Undecided()
	other := h.governs(h.bodies[staged.Body].index)
	switch {
	case !undecided || next.current == nil || other == nil:
	case next.current == old.current && old.both != nil && old.knowledge.Staged == staged:
		next.both = old.both
	default:
		next.both = mfest.NewIndex(mfest.Both(next.current.Manifest, other.Manifest))
	}
	h.state.Store(next)
	for ref := range h.bodies {
		if ref != k.Accepted.Body && (!undecided || ref != staged.Body) {
			delete(h.bodies, ref)
		}
	}
}

// governs returns the index if its manifest has this host's failure domain. The
// hosts of a domain that a manifest leaves out serve nothing under it, since
// later generations do not need their confirmation.
func (h *Holder) governs(x *mfest.Index) *mfest.Index {
	if x == nil || !x.HasDomain(h.Domain) {
		return nil
	}
	return x
}

// Wanted returns the bodies that the host should fetch.
func (h *Holder) Wanted() []Ref {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.Knowledge()
	refs := []Ref{k.Accepted.Body}
	if staged, undecided := k.Undecided(); undecided {
		refs = append(refs, staged.Body)
	}
	return slices.DeleteFunc(refs, func(r Ref) bool {
		_, has := h.bodies[r]
		return has || r == Ref{} || h.refusals[r] != ""
	})
}

// Keep checks a fetched body and prepares it. A body that this host can not
// obey is remembered as refused.
func (h *Holder) Keep(ref Ref, packed []byte) error {
	if object.Name(packed) != ref.Object {
		return object.ErrDamaged
	}
	m, err := mfest.Unpack(packed, ref.Hash)
	if err != nil {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.refusals = map[Ref]string{ref: err.Error()}
		return err
	}
	index := mfest.NewIndex(m)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bodies[ref] = held{packed: packed, index: index}
	h.settle(h.state.Load().knowledge)
	return nil
}

// solid tells whether the host counts towards a majority of its domain: it has
// seen the platform's record since it was registered. Then either whoever leads
// the domain finds it among the registrations, or it has seen the staging.
func (h *Holder) solid() bool {
	return h.roster.listed && h.Knowledge().PlatformAt >= h.roster.listedAt
}

// age of a time on the host's clock, -1 for never.
func age(now, at clock.Millis) clock.Millis {
	if at == never {
		return -1
	}
	return now - at
}

// Check answers a peer that verifies what it knows.
func (h *Holder) Check(request CheckRequest) CheckReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.Knowledge()
	now := h.now()
	reply := CheckReply{
		Closed: k.Closed, VerifiedAge: age(now, k.VerifiedAt), PlatformAge: age(now, k.PlatformAt), Solid: h.solid(),
	}
	if k.Accepted.Number > request.Accepted {
		reply.Accepted = k.Accepted
	}
	if k.Staged.Number > request.Staged {
		reply.Staged = k.Staged
	}
	return reply
}

// Checked takes a peer's answer to a request that was sent at a time on the
// host's own clock. Of a peer in another failure domain, only what it has from
// the platform counts, since its own domain may be behind or ahead.
func (h *Holder) Checked(name string, asked clock.Millis, reply CheckReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Sighting{
		Accepted: reply.Accepted, Staged: reply.Staged, Closed: reply.Closed,
		VerifiedAt: before(asked, reply.VerifiedAge), PlatformAt: before(asked, reply.PlatformAge),
	}
	if _, near := h.roster.peers[name]; !near {
		s.VerifiedAt = s.PlatformAt
	}
	h.learn(s)
	if reply.Solid {
		h.roster.answered(name, asked)
	} else {
		h.roster.pathSeen(name, asked)
	}
	h.verify()
}

func before(at, age clock.Millis) clock.Millis {
	if age < 0 {
		return never
	}
	return at - age
}

// PathSeen takes a sign that the path to a peer works although its process
// does not answer.
func (h *Holder) PathSeen(name string, at clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roster.pathSeen(name, at)
	h.verify()
}

// Verify takes what the peers have shown so far. A host that is alone in its
// domain needs no other.
func (h *Holder) Verify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.verify()
}

// verify raises the time of verification by what the peers have shown.
func (h *Holder) verify() {
	if h.solid() {
		h.learn(Sighting{VerifiedAt: h.roster.verifiedAt(h.now()), PlatformAt: never})
	}
}

// Tell takes news of the record and acknowledges what this host holds.
func (h *Holder) Tell(request TellRequest) TellReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.learn(Sighting{
		Accepted: request.Accepted, Staged: request.Staged, Closed: request.Closed,
		VerifiedAt: never, PlatformAt: never,
	})
	k := h.Knowledge()
	reply := TellReply{Met: h.roster.metOf(request.Silent), Refusal: h.refusals[request.Staged.Body]}
	if _, ok := h.bodies[k.Accepted.Body]; ok {
		reply.InForce = k.Accepted.Number
	}
	if staged, undecided := k.Undecided(); undecided {
		if _, ok := h.bodies[staged.Body]; ok {
			reply.Acked = staged.Number
		}
	}
	return reply
}

// Hello takes a peer's word that it is there, or that it leaves and serves no
// more.
func (h *Holder) Hello(request HelloRequest) HelloReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	if request.Leaving {
		h.roster.remove(request.From)
		return HelloReply{}
	}
	h.roster.hello(request.From, h.now())
	return HelloReply{Known: true}
}

// Body answers a peer that fetches a body.
func (h *Holder) Body(request BodyRequest) BodyReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	for ref, b := range h.bodies {
		if ref.Object == request.Object {
			return BodyReply{Packed: b.packed}
		}
	}
	return BodyReply{}
}
