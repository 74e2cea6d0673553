// SPDX-License-Identifier: MIT

package program

import (
	"time"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/peerpb"
)

// StopBegun reports that the owner stops: no call and no attempt begins from now on. Successor is the instance to own the run
// next, or "".
type StopBegun struct{ Successor string }

// StopEnded reports that the owner ends before the open call could. Successor is as in [StopBegun].
type StopEnded struct{ Successor string }

// HandOver gives up the ownership of the run and redirects all its callers to the next owner.
type HandOver struct{ To string }

func (StopBegun) event() {}
func (StopEnded) event() {}
func (HandOver) action() {}

// stopRefusal returns the reply to a call that does not begin because the owner stops.
func stopRefusal() *peerpb.Problem {
	return problem.Certain(problem.Retry(problem.NotServing, "the run's owner stops before the call could end", problem.StopRetryAfter))
}

// beginStop refuses the waiting calls, so that they are sent to the next owner.
func (m *Machine) beginStop(e StopBegun) []Action {
	m.stopping = true
	m.successor = e.Successor
	var out []Action
	for _, c := range m.waiting {
		out = append(out, m.notifyListeners(c, problem.Event(stopRefusal()), true)...)
	}
	m.waiting = nil
	return out
}

// endStop ends the open call. The next owner repeats or settles what may have run; without one, what may not be repeated is
// settled, and the rest is left to the owner after a restart.
func (m *Machine) endStop(now time.Time, e StopEnded) []Action {
	out := m.beginStop(StopBegun(e))
	c := m.open
	switch {
	case c == nil || c.stage == settling:
		return out
	case c.stage == placing && (c.charged == 0 || m.successor == ""):
		return append(out, m.cancelCall(now, c, stopRefusal())...)
	case m.successor != "":
		return append(out, m.handOver()...)
	case c.stage == sent && !c.turn.GetRepeatable():
		out = append(out, Abort{Sequence: c.turn.GetSequence(), Attempt: c.attempt})
		return append(out, m.settleUnknown(now, c, "the run's owner stopped")...)
	}
	return out
}

// handOver redirects all callers to the next owner.
func (m *Machine) handOver() []Action {
	out := m.leave(&peerpb.Redirect{Instance: m.successor, TakeOver: true})
	return append(out, HandOver{To: m.successor})
}
