// SPDX-License-Identifier: MIT

package controller

import "sync"

// voteRequests are the requests to voters under way. They may outlive their round, and the own
// ones write to the disk, so that a stop waits for them. The zero value is ready.
type voteRequests struct {
	mu sync.Mutex
	// stopped is true once a stop waits: none begins any more.
	stopped bool
	running sync.WaitGroup
}

// start runs f in the background, unless a stop has come. It reports whether it does.
func (v *voteRequests) start(f func()) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return false
	}
	v.running.Go(f)
	return true
}

// stop lets none begin any more and waits for those under way.
func (v *voteRequests) stop() {
	v.mu.Lock()
	v.stopped = true
	v.mu.Unlock()
	v.running.Wait()
}
