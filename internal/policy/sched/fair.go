package sched

// tier is all classes of one tier number.
type tier struct {
	number  int
	classes []*class
	shares  map[string]*share
	// weights is the sum over the workspaces with running or waiting work.
	weights int
	running int
	// busy are the shares with running work: no other can be over its share.
	busy  []*share
	stale bool
}

// share is what one workspace holds of one tier.
type share struct {
	tier      *tier
	workspace string
	weight    int
	running   int
	waiting   int
	over      bool
	inBusy    int
	queues    []*queue
}

func (t *tier) share(workspace string, weight int) *share {
	s := t.shares[workspace]
	if s == nil {
		s = &share{tier: t, workspace: workspace, weight: weight, inBusy: absent}
		t.shares[workspace] = s
		t.weights += weight
		t.stale = true
	}
	return s
}

// release forgets a share that holds nothing any more.
func (s *share) release() {
	if s.running > 0 || s.waiting > 0 {
		return
	}
	delete(s.tier.shares, s.workspace)
	s.tier.weights -= s.weight
	s.tier.stale = true
}

func (s *share) addRunning(by int) {
	t := s.tier
	s.running += by
	t.running += by
	t.stale = true
	switch {
	case s.running > 0 && s.inBusy == absent:
		s.inBusy = len(t.busy)
		t.busy = append(t.busy, s)
	case s.running == 0 && s.inBusy != absent:
		last := t.busy[len(t.busy)-1]
		t.busy[s.inBusy] = last
		last.inBusy = s.inBusy
		t.busy = t.busy[:len(t.busy)-1]
		s.inBusy = absent
		s.setOver(false)
	}
}

// overFactor is how many times its share a workspace holds from which its
// requests go behind. Below it deadlines alone decide, since workspaces of
// unlike size are usual.
const overFactor = 3

// overShare tells whether a workspace that has running slots of its tier's
// total has reached a multiple of its share, which is that by weight of one slot
// more than the total. For example, of four equal workspaces that hold 6, 1, 0
// and 0 slots, the share is 8/4 = 2, and only the first is over it.
func overShare(running, weight, total, weights int) bool {
	return running*weights >= overFactor*(total+1)*weight
}

// refresh brings the order of the lanes up to date with what is running.
func (t *tier) refresh() {
	if !t.stale {
		return
	}
	t.stale = false
	for _, s := range t.busy {
		s.setOver(overShare(s.running, s.weight, t.running, t.weights))
	}
}

func (s *share) setOver(over bool) {
	if s.over == over {
		return
	}
	s.over = over
	for _, q := range s.queues {
		q.lane.queues.put(q)
	}
}
