// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"syscall"
	"time"

	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// startSpread is the time within which all instances start, longestAway how much later one
	// that is lost at the first start comes at the most.
	startSpread = 300 * time.Millisecond
	longestAway = 5 * time.Second
	// earlyEnd bounds the time after which a process is killed before, or just after, its first writes.
	earlyEnd = 12 * time.Millisecond
)

// firstStart starts all instances for the first time: in any order, one of them much later, and one killed at
// once and started again, when it is no first start any more.
type firstStart struct {
	fleet *fleet
	r     *rand.Rand
	// out gets a line for each loss; nil is none.
	out io.Writer
}

func (s *firstStart) run(ctx context.Context) error {
	all := s.fleet.all()
	s.r.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	disks := append(append([]*instance(nil), s.fleet.controls()...), s.fleet.stores...)
	away, early := s.draw(disks), s.draw(disks)
	for _, in := range all {
		wait.For(ctx, time.Duration(s.r.Int64N(int64(startSpread)/int64(len(all)))))
		if in == away {
			s.startLater(ctx, in)
			continue
		}
		if err := in.start(); err != nil {
			return err
		}
		if in != early {
			continue
		}
		after := time.Duration(s.r.Int64N(int64(earlyEnd)))
		s.tell("%s is killed %v after its first start", in, after)
		wait.For(ctx, after)
		in.stop(syscall.SIGKILL)
		if err := in.start(); err != nil {
			return err
		}
	}
	return nil
}

// draw returns an instance, or in half of the draws nil.
func (s *firstStart) draw(list []*instance) *instance {
	if in := list[s.r.IntN(len(list))]; s.r.IntN(2) == 0 {
		return in
	}
	return nil
}

// startLater starts an instance after a while, as at a first start or not. No fault has it until then.
func (s *firstStart) startLater(ctx context.Context, in *instance) {
	after := time.Duration(s.r.Int64N(int64(longestAway)))
	in.plan.Bootstrap = s.r.IntN(2) == 0
	s.tell("%s is away for %v, first start %v", in, after, in.plan.Bootstrap)
	in.claimed.Lock()
	go (&lateStart{fleet: s.fleet, instance: in, after: after}).run(ctx)
}

func (s *firstStart) tell(format string, in *instance, args ...any) {
	if s.out != nil {
		fmt.Fprintf(s.out, format+"\n", append([]any{in.plan.Instance}, args...)...)
	}
}

// lateStart is the start of an instance that was claimed for it.
type lateStart struct {
	fleet    *fleet
	instance *instance
	after    time.Duration
}

func (l *lateStart) run(ctx context.Context) {
	defer l.instance.claimed.Unlock()
	if wait.For(ctx, l.after) {
		l.fleet.restart(l.instance)
	}
}
