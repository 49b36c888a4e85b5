package sched

// tier holds all classes with the same tier number.
type tier struct {
	number  int
	classes []*class
	usages  map[string]*workspaceUsage
	// weightSum is the sum of the weights of workspaces with running or waiting
	// requests.
	weightSum int
	running   int
	// busy lists the workspaces with running requests. Only these can be over their
	// fair share.
	busy  []*workspaceUsage
	stale bool
}

// workspaceUsage counts the requests of one workspace in one tier.
type workspaceUsage struct {
	tier          *tier
	workspace     string
	weight        int
	running       int
	waiting       int
	overFairShare bool
	busyIndex     int
	queues        []*queue
}

func (t *tier) usage(workspace string, weight int) *workspaceUsage {
	s := t.usages[workspace]
	if s == nil {
		s = &workspaceUsage{tier: t, workspace: workspace, weight: weight, busyIndex: noIndex}
		t.usages[workspace] = s
		t.weightSum += weight
		t.stale = true
	}
	return s
}

// release removes a workspace without running and waiting requests.
func (s *workspaceUsage) release() {
	if s.running > 0 || s.waiting > 0 {
		return
	}
	delete(s.tier.usages, s.workspace)
	s.tier.weightSum -= s.weight
	s.tier.stale = true
}

func (s *workspaceUsage) addRunning(by int) {
	t := s.tier
	s.running += by
	t.running += by
	t.stale = true
	switch {
	case s.running > 0 && s.busyIndex == noIndex:
		s.busyIndex = len(t.busy)
		t.busy = append(t.busy, s)
	case s.running == 0 && s.busyIndex != noIndex:
		last := t.busy[len(t.busy)-1]
		t.busy[s.busyIndex] = last
		last.busyIndex = s.busyIndex
		t.busy = t.busy[:len(t.busy)-1]
		s.busyIndex = noIndex
		s.setOverFairShare(false)
	}
}

// overFactor is the multiple of its fair share from which a workspace's requests go
// behind the others. Below it only deadlines count, since workspaces commonly differ
// in size.
const overFactor = 3

// isOverFairShare reports whether a workspace that holds running of its tier's total slots
// has reached overFactor times its fair share, which is its part by weight of
// total+1 slots. For example, with four equal workspaces that hold 6, 1, 0 and 0
// slots, the fair share is 8/4 = 2, and only the first workspace reaches 3*2.
func isOverFairShare(running, weight, total, weightSum int) bool {
	return running*weightSum >= overFactor*(total+1)*weight
}

// refresh updates the order of the queues after a change of the running requests.
func (t *tier) refresh() {
	if !t.stale {
		return
	}
	t.stale = false
	for _, s := range t.busy {
		s.setOverFairShare(isOverFairShare(s.running, s.weight, t.running, t.weightSum))
	}
}

func (s *workspaceUsage) setOverFairShare(over bool) {
	if s.overFairShare == over {
		return
	}
	s.overFairShare = over
	for _, q := range s.queues {
		q.lane.queues.put(q)
	}
}
