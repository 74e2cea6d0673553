// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"slices"
	"syscall"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// roundSpread is the longest time between two events of a round: the end of a store, the start of its successor, and the end of
	// all control instances.
	roundSpread = 4 * time.Second
	// successorLeast is the least time from the end of a store to the start of its successor.
	successorLeast = time.Second
	// mostAbandoned is how many attempts at a view change may be abandoned: one for each instance that may be lost, and one more.
	mostAbandoned = 3
	// servedWithin is when a quarter of the turns must have been served after the machines are back: the platform's 12 s less a margin.
	servedWithin = 11 * time.Second
	// recoverPromise and attemptsPromise are what the violations of these bounds begin with.
	recoverPromise, attemptsPromise = "RECOVER: ", "ATTEMPTS: "
)

// playRounds replaces stores in series: in each round one ends for good and an empty successor under another name comes. In every second
// round another store follows while the first one's records may still be copied, and all control instances are killed.
// No disk counts as lost once a round is over.
func (x *finalLoss) playRounds(ctx context.Context) {
	for round := range x.shape.rounds {
		x.replaceWithin(ctx)
		if round%2 == 1 {
			wait.For(ctx, time.Duration(x.r.Int64N(int64(roundSpread/2))))
			x.replaceWithin(ctx)
			wait.For(ctx, time.Duration(x.r.Int64N(int64(roundSpread))))
			x.killControl(ctx)
		}
		wait.For(ctx, catchUp)
	}
}

// replaceWithin is replaceStore with a successor that comes after 1 to 4 s.
func (x *finalLoss) replaceWithin(ctx context.Context) {
	after := successorLeast + time.Duration(x.r.Int64N(int64(roundSpread-successorLeast)))
	x.replaceStoreAfter(ctx, after)
}

// killControl kills all control instances and starts them again.
func (x *finalLoss) killControl(ctx context.Context) {
	controls := x.fleet.controls()
	for _, in := range controls {
		in.claimed.Lock()
		in.expectEnd()
		in.signal(syscall.SIGKILL)
	}
	for _, in := range controls {
		in.stop(syscall.SIGKILL)
	}
	x.tell("all control instances are killed")
	for _, in := range controls {
		x.fleet.restart(in)
		in.claimed.Unlock()
		wait.For(ctx, time.Duration(x.r.Int64N(int64(time.Second)/int64(len(controls)))))
	}
}

// stateChange is what is read of a log line about a change of the deployment.
type stateChange struct {
	Message   string   `json:"msg"`
	View      uint64   `json:"view"`
	Prior     []string `json:"prior"`
	Abandoned int      `json:"abandoned"`
}

// checkAttempts counts the attempts at view changes that control instances have logged, and breaks a promise if one change
// had more than mostAbandoned that gave way to others.
func (x *finalLoss) checkAttempts() {
	attempts, most := map[uint64]bool{}, 0
	f := x.fleet
	for _, in := range slices.Concat(f.controls(), f.replacedControls()) {
		for line := range bytes.Lines(in.logged()) {
			var c stateChange
			if err := json.Unmarshal(line, &c); err != nil || c.Message != "deployment changed" || len(c.Prior) == 0 {
				continue
			}
			attempts[c.View] = true
			most = max(most, c.Abandoned)
		}
	}
	f.ledger.Add("attempts at view changes", len(attempts))
	f.ledger.Add("attempts abandoned by one view change, at most", most)
	if most > mostAbandoned {
		f.ledger.AddViolation(attemptsPromise+"%d attempts at one view change gave way to others, %d allowed", most, mostAbandoned)
	}
}

// checkRecovery breaks a promise if fewer than a quarter of the turns were served in time.
func (x *finalLoss) checkRecovery() {
	v := x.fleet.afterLoss.Load()
	if v.Asked > 0 && 4*v.ReachedWithin(servedWithin) < v.Asked {
		x.fleet.ledger.AddViolation(recoverPromise+"%d of %d continued turns reached an endpoint within %v", v.ReachedWithin(servedWithin), v.Asked, servedWithin)
	}
}
