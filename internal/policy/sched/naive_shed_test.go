package sched_test

import (
	"slices"

	"siskinsaddle/internal/base/clock"
	"siskinsaddle/internal/policy/sched"
)

// nextToShed returns the class to shed from, "" for none.
func (n *naive) nextToShed() string {
	best := sched.Class{}
	for _, c := range n.settings.Classes {
		w := n.waitingIn(c.Name)
		if w > 1 && c.MaxWaiting > 0 && (c.Tier > best.Tier || c.Tier == best.Tier && w > n.waitingIn(best.Name)) {
			best = c
		}
	}
	return best.Name
}

// heaviest returns the workspace with the most waiting requests relative to its
// weight.
func (n *naive) heaviest(class string) string {
	heaviest, most := "", -1.0
	for _, e := range n.waiting {
		per := float64(count(n.waiting, func(o naiveEntry) bool { return o.Class == class && o.Workspace == e.Workspace })) / float64(n.weight(e.Workspace))
		if e.Class == class && (per > most || per == most && e.Workspace < heaviest) {
			heaviest, most = e.Workspace, per
		}
	}
	return heaviest
}

// oldest returns the index of the entry with the earliest deadline in the heaviest
// workspace.
func (n *naive) oldest(class string) int {
	heaviest, oldest := n.heaviest(class), -1
	for i, e := range n.waiting {
		if e.Class == class && e.Workspace == heaviest && (oldest < 0 || e.Deadline < n.waiting[oldest].Deadline) {
			oldest = i
		}
	}
	return oldest
}

// victim returns the index of the entry to shed when the queue is full.
func (n *naive) victim(now clock.Millis, class string) int {
	heaviest, newest := n.heaviest(class), -1
	if at := n.oldest(class); n.waiting[at].Deadline < now {
		return at
	}
	for i, e := range n.waiting {
		if e.Class == class && e.Workspace == heaviest && (newest < 0 || e.Deadline >= n.waiting[newest].Deadline) {
			newest = i
		}
	}
	return newest
}

func usefulUntil(e naiveEntry) clock.Millis {
	return min(e.GiveUp, e.Deadline+(e.Deadline-e.Arrived)/4)
}

func (n *naive) higherTierTooLate(now clock.Millis, tier int) bool {
	return slices.ContainsFunc(n.settings.Classes, func(c sched.Class) bool {
		return c.MaxWaiting > 0 && c.Tier < tier && n.waitingIn(c.Name) > 1 &&
			usefulUntil(n.waiting[n.oldest(c.Name)]) < now
	})
}

func (n *naive) enforceCapacity(now clock.Millis, c sched.Class) {
	total, low := 0, n.nextToShed()
	for _, d := range n.settings.Classes {
		total += d.MaxWaiting
	}
	switch {
	case low == "" || c.MaxWaiting == 0:
	case len(n.waiting) > total:
		n.refuse(n.victim(now, low), sched.ReasonShed)
	case n.waitingIn(c.Name) > c.MaxWaiting && n.class(low).Tier <= c.Tier:
		n.refuse(n.victim(now, c.Name), sched.ReasonShed)
	}
}
