// SPDX-License-Identifier: MIT

package controller

import "sync"

// voteRequests tracks the requests to voters in progress. They may outlive their round, and those
// to this instance write to disk, so shutdown waits for them. The zero value is ready to use.
type voteRequests struct {
	mu sync.Mutex
	// stopped is set once shutdown has begun; no further requests are started.
	stopped bool
	running sync.WaitGroup
}

// start runs f in the background and reports whether it was started. It is not started after stop.
func (v *voteRequests) start(f func()) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.stopped {
		return false
	}
	v.running.Go(f)
	return true
}

// stop prevents further requests and waits for those in progress.
func (v *voteRequests) stop() {
	v.mu.Lock()
	v.stopped = true
	v.mu.Unlock()
	v.running.Wait()
}
