package accept

import (
	"slices"
	"sync"
	"sync/atomic"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/plat/object"
	"siskinsaddle/internal/share/mfest"
)

// View is the mode and manifest that a request is served under. Index is nil in
// modes that do not serve.
type View struct {
	Mode Mode
	// Generation is the last one known to be accepted.
	Generation int64
	Index      *mfest.Index
}

// Serves reports whether requests are served.
func (v View) Serves() bool {
	return v.Index != nil
}

// preparedBody is a validated body with its index.
type preparedBody struct {
	packed []byte
	index  *mfest.Index
}

// state is immutable and swapped atomically, so that View needs no lock.
type state struct {
	knowledge Knowledge
	current   *mfest.Index
	both      *mfest.Index
}

// Holder keeps a host's knowledge of the record, with the bodies of the accepted and
// the staged manifest, and the roster of its domain. It is safe for concurrent use.
type Holder struct {
	Host   string
	Domain string

	bootClock *bootClock
	state     atomic.Pointer[state]

	mu       sync.Mutex
	roster   *roster
	bodies   map[Ref]preparedBody
	refusals map[Ref]string
	// stopped is set once the host no longer serves because it is leaving.
	stopped  atomic.Bool
	tickedAt clock.Millis
	// runningSince is the start of the current run of ticks without a pause.
	runningSince clock.Millis
}

// NewHolder returns a holder without any knowledge, for a host that has just
// started.
func NewHolder(host, domain string, c clock.Clock) *Holder {
	h := &Holder{
		Host: host, Domain: domain,
		bootClock: &bootClock{clock: c}, roster: newRoster(),
		bodies: map[Ref]preparedBody{}, refusals: map[Ref]string{},
	}
	now := h.now()
	h.tickedAt, h.runningSince = now, now
	h.state.Store(&state{knowledge: newKnowledge(now)})
	return h
}

func (h *Holder) now() clock.Millis {
	return h.bootClock.now()
}

func (h *Holder) tick() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.now()
	if now-h.tickedAt > PauseThreshold {
		h.runningSince = now
	}
	h.tickedAt = now
}

// RunningSince returns the time since which this process has run without a pause
// longer than PauseThreshold.
func (h *Holder) RunningSince() clock.Millis {
	h.tick()
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.runningSince
}

// View returns the view for a request that arrives now. It reads the clock, so a
// host that was paused becomes not current before it serves anything.
func (h *Holder) View() View {
	if h.stopped.Load() {
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
		v.Mode = ModeNotReady // the body has not been fetched yet
	}
	return v
}

// StillServes reports whether an earlier view is still current. It is called just
// before a request is sent to a server, in case the process was paused in
// between.
func (h *Holder) StillServes(v View) bool {
	now := h.View()
	return now.Serves() && now.Index == v.Index
}

// Close stops serving. It is called before the host tells its peers that it
// leaves.
func (h *Holder) Close() {
	h.stopped.Store(true)
}

// Knowledge returns the host's present knowledge.
func (h *Holder) Knowledge() Knowledge {
	return h.state.Load().knowledge
}

// Learn merges an observation into the host's knowledge.
func (h *Holder) Learn(s Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.learn(s)
}

func (h *Holder) learn(s Observation) {
	h.applyKnowledge(h.state.Load().knowledge.With(s))
}

// applyKnowledge stores the knowledge with its indexes and drops bodies that are
// no longer needed.
func (h *Holder) applyKnowledge(k Knowledge) {
	old := h.state.Load()
	next := &state{knowledge: k, current: h.ifDomainIncluded(h.bodies[k.Accepted.Body].index)}
	staged, undecided := k.Undecided()
	other := h.ifDomainIncluded(h.bodies[staged.Body].index)
	switch {
	case !undecided || next.current == nil || other == nil:
	case next.current == old.current && old.both != nil && old.knowledge.Staged == staged:
		next.both = old.both
	default:
		next.both = mfest.NewIndex(mfest.Intersect(next.current.Manifest, other.Manifest))
	}
	h.state.Store(next)
	for ref := range h.bodies {
		if ref != k.Accepted.Body && (!undecided || ref != staged.Body) {
			delete(h.bodies, ref)
		}
	}
}

// ifDomainIncluded returns the index if its manifest has this host's failure
// domain, else nil. Hosts of a domain that is not in the manifest serve nothing
// under it, since later generations do not need their confirmation.
func (h *Holder) ifDomainIncluded(x *mfest.Index) *mfest.Index {
	if x == nil || !x.HasFailureDomain(h.Domain) {
		return nil
	}
	return x
}

// MissingBodies returns the bodies that the host has yet to fetch.
func (h *Holder) MissingBodies() []Ref {
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

// AddBody validates and indexes a fetched body. An invalid body is recorded as
// refused. It returns object.ErrCorrupt if the body does not match its name.
func (h *Holder) AddBody(ref Ref, packed []byte) error {
	if object.Name(packed) != ref.Object {
		return object.ErrCorrupt
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
	h.bodies[ref] = preparedBody{packed: packed, index: index}
	h.applyKnowledge(h.state.Load().knowledge)
	return nil
}

// countsForMajority reports whether the host counts towards a majority of its
// domain: it has seen the platform's record since it was registered. Then either
// a host that collects for the domain finds it among the registrations, or it has
// seen the staged generation itself.
func (h *Holder) countsForMajority() bool {
	return h.roster.loaded && h.Knowledge().PlatformAt >= h.roster.loadedAt
}

// age returns the age of a time on the host's clock, -1 for never.
func age(now, at clock.Millis) clock.Millis {
	if at == never {
		return -1
	}
	return now - at
}

// Check answers a peer that verifies its knowledge.
func (h *Holder) Check(request CheckRequest) CheckReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	k := h.Knowledge()
	now := h.now()
	reply := CheckReply{
		Closed: k.Closed, VerifiedAge: age(now, k.VerifiedAt), PlatformAge: age(now, k.PlatformAt),
		CountsForMajority: h.countsForMajority(),
	}
	if k.Accepted.Number > request.Accepted {
		reply.Accepted = k.Accepted
	}
	if k.Staged.Number > request.Staged {
		reply.Staged = k.Staged
	}
	return reply
}

// HandleCheckReply merges a peer's reply to a request sent at sentAt, on the
// host's own clock. From a peer in another failure domain only the platform's
// verification counts, since that domain may be behind or ahead.
func (h *Holder) HandleCheckReply(name string, sentAt clock.Millis, reply CheckReply) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := Observation{
		Accepted: reply.Accepted, Staged: reply.Staged, Closed: reply.Closed,
		VerifiedAt: subtractAge(sentAt, reply.VerifiedAge),
		PlatformAt: subtractAge(sentAt, reply.PlatformAge),
	}
	if _, near := h.roster.peers[name]; !near {
		s.VerifiedAt = s.PlatformAt
	}
	h.learn(s)
	if reply.CountsForMajority {
		h.roster.recordReply(name, sentAt)
	} else {
		h.roster.pathSeen(name, sentAt)
	}
	h.verify()
}

func subtractAge(at, age clock.Millis) clock.Millis {
	if age < 0 {
		return never
	}
	return at - age
}

// PathSeen records that the network path to a peer works although its process
// does not answer.
func (h *Holder) PathSeen(name string, at clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.roster.pathSeen(name, at)
	h.verify()
}

// Verify updates the time of verification from the peers' answers. A host that is
// alone in its domain needs none.
func (h *Holder) Verify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.verify()
}

// verify raises the time of verification to what the roster supports.
func (h *Holder) verify() {
	if h.countsForMajority() {
		h.learn(Observation{VerifiedAt: h.roster.verifiedAt(h.now()), PlatformAt: never})
	}
}

// Tell merges the sender's knowledge of the record and acknowledges the
// generations whose bodies this host holds.
func (h *Holder) Tell(request TellRequest) TellReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.learn(Observation{
		Accepted: request.Accepted, Staged: request.Staged, Closed: request.Closed,
		VerifiedAt: never, PlatformAt: never,
	})
	k := h.Knowledge()
	reply := TellReply{
		KnownBy: h.roster.knownBy(request.Silent), Refusal: h.refusals[request.Staged.Body],
	}
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

// Hello records that a peer has joined, or that it is leaving and has stopped
// serving.
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
