// SPDX-License-Identifier: MIT

package controller

import "sync"

// ballots are the requests to voters under way. They may outlive their round, and the own
// ones write to the disk, so that a stop waits for them. The zero value is ready.
type ballots struct {
	mu sync.Mutex
	// stopped is true once a stop waits: none begins any more.
	stopped bool
	running sync.WaitGroup
}

// start runs f in the background, unless a stop has come. It reports whether it does.
func (b *ballots) start(f func()) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.stopped {
		return false
	}
	b.running.Go(f)
	return true
}

// stop lets none begin any more and waits for those under way.
func (b *ballots) stop() {
	b.mu.Lock()
	b.stopped = true
	b.mu.Unlock()
	b.running.Wait()
}
