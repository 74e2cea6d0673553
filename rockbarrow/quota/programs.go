// SPDX-License-Identifier: MIT

package quota

import (
	"context"
	"math"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// localProgramShare is the fraction of its limit up to which a customer's new programs may be admitted locally.
	localProgramShare = 0.25
	// similarNeed is the fraction of the need of a refused program from which others are refused with it.
	similarNeed = 0.5
)

// Request describes a request of a customer.
type Request struct {
	// NewProgram is true for the first turn of a program.
	NewProgram bool
	// Program is a hash of the program's name, zero if it has none.
	Program uint64
	// Need is how many requests a new program is expected to make, zero if unknown. TimeToFinish is the time left for
	// it, zero if unknown.
	Need         float64
	TimeToFinish time.Duration
}

// toControl returns the question to a control instance.
func (r Request) toControl(customer string, n uint32) *fleetpb.AdmitRequest {
	out := &fleetpb.AdmitRequest{Customer: customer, Requests: n, NewProgram: r.NewProgram, Program: r.Program}
	if r.NewProgram {
		out.Need, out.FinishMs = float32(r.Need), uint32(min(max(0, r.TimeToFinish.Milliseconds()), math.MaxUint32))
	}
	return out
}

// requests returns how many requests are expected from r on, including itself.
func (r Request) requests() int {
	if !r.NewProgram {
		return 1
	}
	return int(math.Ceil(max(1, r.Need)))
}

// AdmitProgram decides whether a new program may start whose first request was granted as if the program were in
// progress. If the program is refused, the request is no longer charged.
func (l *Limiter) AdmitProgram(ctx context.Context, now time.Time, customer *fleetpb.Customer, r Request, first Granted) Decision {
	limit, ok := l.Params.limit(customer)
	if !ok {
		return Granted{}
	}
	if first.charge.withoutControl {
		return first // asking again would take as long as the first time
	}
	a := l.account(customer.GetName())
	r.NewProgram = true
	if d := a.admitProgramLocally(l, now, customer.GetName(), limit, r, first.charge); d != nil {
		return d
	}
	req := r.toControl(customer.GetName(), 0)
	req.CountedBy = first.charge.process
	control, reply, err := l.AskControl(ctx, req)
	if first.charge.control != "" && (err != nil || control != first.charge.control) {
		first = a.countAgain(first)
	}
	if err != nil || reply.GetUnsure() {
		return first // without control, the charge of the request is the only limit
	}
	if reply.GetGranted() {
		first.charge.committed = r.Program
		return first
	}
	a.mu.Lock()
	a.undo(l, now, first.charge, reply.GetUncounted())
	a.mu.Unlock()
	return a.block(now, reply, r)
}

// EndProgram tells a control instance that a first turn did not run, so that others can use what was committed to its
// program. If that fails, the commitment ends like that of any program without requests.
func (l *Limiter) EndProgram(ctx context.Context, customer *fleetpb.Customer, g Granted) {
	if g.HasCommitment() {
		l.AskControl(ctx, &fleetpb.AdmitRequest{Customer: customer.GetName(), Program: g.charge.committed, Ended: true})
	}
}

// countAgain reports a granted request to the control instance that counted it as one admitted locally, since the instance
// may have refused the program and removed the request without its reply being received.
func (a *account) countAgain(g Granted) Granted {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.granted[g.charge.control]--
	return Granted{charge{at: g.charge.at}}
}

// undo removes the charge of a request that will not run. The flag uncounted tells that the control instance that counted
// it has removed it. Otherwise, another request may take its place. The caller must hold mu.
func (a *account) undo(l *Limiter, now time.Time, c charge, uncounted bool) {
	if c.refund || c.control != "" && !uncounted {
		a.refund(now, c)
		return
	}
	if c.control != "" {
		a.granted[c.control]--
	} else if c.allowance != nil && c.allowance == a.allowanceUpdate {
		a.allowance++
	}
	a.admitted--
	a.window.remove(l.elapsed(now), l.Params.Window)
}

// admitProgramLocally is AdmitProgram without asking a control instance. It returns nil if one must be asked.
func (a *account) admitProgramLocally(l *Limiter, now time.Time, customer string, limit float64, r Request, first charge) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch l.Mode.(type) {
	case Central:
		return nil
	case Even, Estimated:
		return Granted{first}
	}
	// A control instance that has counted the request must be told of the refusal.
	if first.control == "" && a.isBlocked(now, r) {
		a.undo(l, now, first, false)
		return a.cachedRefusal(now)
	}
	if u := l.latest.Load(); u == nil || now.Sub(u.requestedAt) > updateTTL {
		return nil
	}
	a.refreshAllowance(l, now, customer, limit)
	if !a.useProgramAllowance(limit, r.requests()-1) {
		return nil
	}
	return Granted{first}
}

// useProgramAllowance takes the requests of a new program from the allowance, so that programs admitted locally fit into
// it together. It reports whether that is possible. The caller must hold mu.
func (a *account) useProgramAllowance(limit float64, requests int) bool {
	if a.reportedCount > localProgramShare*limit || a.allowance < requests {
		return false
	}
	a.allowance -= requests
	return true
}

// cachedRefusal returns the refusal of a program for which isBlocked is true. The caller must hold mu.
func (a *account) cachedRefusal(now time.Time) Refused {
	return Refused{RetryAfter: a.retryNewAt.Sub(now), Committed: a.blockedByCommitments}
}

// isBlocked reports whether a new program is refused as one was shortly before. The caller must hold mu.
func (a *account) isBlocked(now time.Time, r Request) bool {
	return r.NewProgram && now.Before(a.blockedNew) && r.Need >= a.blockedNeed
}
