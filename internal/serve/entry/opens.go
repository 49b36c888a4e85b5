package entry

import "sync"

// opens counts the open requests of each workspace.
type opens struct {
	mu      sync.Mutex
	counted map[string]int
	total   int
}

// enter takes a place; it returns false where the workspace has limit open
// requests already, or all together have most. 0 or less means no limit.
func (o *opens) enter(workspace string, limit, most int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counted == nil {
		o.counted = map[string]int{}
	}
	if limit > 0 && o.counted[workspace] >= limit || most > 0 && o.total >= most {
		return false
	}
	o.counted[workspace]++
	o.total++
	return true
}

// leave gives a place back and forgets a workspace that has none.
func (o *opens) leave(workspace string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total--
	o.counted[workspace]--
	if o.counted[workspace] == 0 {
		delete(o.counted, workspace)
	}
}

func (o *opens) open() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}
