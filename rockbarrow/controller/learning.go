// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"math/rand/v2"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// learnWithin bounds one round of a start: a round trip between failure domains
	// (3 ms), two syncs (1 ms each) and the scheduling of processes that all start.
	learnWithin = 150 * time.Millisecond
	// learnPause lies between such rounds, twice that at the most. Shorter, and two
	// instances keep taking the round from each other, which takes some 10 ms.
	learnPause = 20 * time.Millisecond
)

// runLearning finds out after a start which state was chosen, as soon as a majority of
// the voters is up. After a loss of power everyone waits for it.
func (c *Controller) runLearning(ctx context.Context) {
	for c.State() == nil && c.saved.Load().GetState() != nil {
		c.learn(ctx)
		if !wait.For(ctx, learnPause+rand.N(learnPause)) {
			return
		}
	}
}

func (c *Controller) learn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, learnWithin)
	defer cancel()
	if _, err := c.Read(ctx); err != nil {
		c.Log.WithError(err).Debug("the chosen state is not learned yet")
	}
}
