package entry

import "sync"

// openRequests counts the open requests of each workspace.
type openRequests struct {
	mu          sync.Mutex
	byWorkspace map[string]int
	total       int
}

// acquire counts one more open request. It returns false if the workspace already
// has workspaceMax open requests, or all workspaces together have totalMax. A limit
// of 0 or less means no limit.
func (o *openRequests) acquire(workspace string, workspaceMax, totalMax int) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byWorkspace == nil {
		o.byWorkspace = map[string]int{}
	}
	if workspaceMax > 0 && o.byWorkspace[workspace] >= workspaceMax ||
		totalMax > 0 && o.total >= totalMax {
		return false
	}
	o.byWorkspace[workspace]++
	o.total++
	return true
}

// release counts one open request less, and drops the entry of a workspace that has
// none left.
func (o *openRequests) release(workspace string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.total--
	o.byWorkspace[workspace]--
	if o.byWorkspace[workspace] == 0 {
		delete(o.byWorkspace, workspace)
	}
}

// count returns the number of open requests of all workspaces.
func (o *openRequests) count() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.total
}
