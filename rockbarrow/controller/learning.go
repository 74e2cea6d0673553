// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// learnTimeout bounds one round during startup: a round trip between failure domains (3 ms), two
	// fsyncs (1 ms each) and the scheduling of processes that all start at once.
	learnTimeout = 150 * time.Millisecond
	// minLearnRetryDelay is the shortest delay between such rounds; the longest is twice that. It
	// exceeds the usual duration of a round, about 10 ms, so that instances do not keep preempting
	// each other.
	minLearnRetryDelay = 20 * time.Millisecond
)

// runLearning determines the chosen state after a start, as soon as a majority of the voters is up.
// After a full power loss, all instances wait for this.
func (c *Controller) runLearning(ctx context.Context) {
	for c.State() == nil && c.savedRecord.Load().GetState() != nil {
		c.readState(ctx)
		if !wait.For(ctx, minLearnRetryDelay+rand.N(minLearnRetryDelay)) {
			return
		}
	}
}

func (c *Controller) readState(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	if _, err := c.Read(ctx); err != nil {
		c.Log.WithError(err).Debug("failed to learn the chosen state, will retry")
	}
}
