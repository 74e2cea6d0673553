// SPDX-License-Identifier: MIT

package quota

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// updateTTL is how long the allowance from an update of the counts may be used: several update intervals.
	updateTTL = 1500 * time.Millisecond
	// unreportedShares is how many allowances an instance may use before the counter learns of the first one: two
	// before its report is sent, and one after that.
	unreportedShares = 3
	// refundTTL is how long after its charge a request that did not run allows another one in its place. Its count
	// leaves the window at most that much too early for the other one.
	refundTTL = 500 * time.Millisecond
	// refusalTTL is how long a refusal is cached.
	refusalTTL = 200 * time.Millisecond
	// assumedCount is the fraction of its limit that a customer is assumed to use at least.
	assumedCount = 0.5
)

// AdmitFunc asks a control instance to admit requests. It returns the name of the instance that replied, for
// [Limiter.Admitted].
type AdmitFunc func(ctx context.Context, req *fleetpb.AdmitRequest) (control string, reply *fleetpb.AdmitReply, err error)

// Mode selects how a limiter admits requests: [Shared], [Central], [Estimated] or [Even].
type Mode interface{ mode() }

// Shared admits requests up to a local allowance, and asks a control instance beyond that. It is used in production.
type Shared struct{}

// Central asks a control instance for each request.
type Central struct{}

// Estimated uses only the last update and the requests admitted since, up to the limit.
type Estimated struct{}

// Even gives each instance an even share of the limit, regardless of the others.
type Even struct{}

func (Shared) mode()    {}
func (Central) mode()   {}
func (Estimated) mode() {}
func (Even) mode()      {}

// Limiter admits requests on an entry instance. Set the exported fields before the first call.
type Limiter struct {
	Params Params
	// Mode defaults to Shared.
	Mode Mode
	// Instance is the name of this entry instance, and EntryCount returns the number of entry instances.
	Instance   string
	EntryCount func() int
	AskControl AdmitFunc

	started  time.Time
	once     sync.Once
	accounts sync.Map // customer name to *account
	latest   atomic.Pointer[countUpdate]
}

// countUpdate holds the counts of all customers at a time. It is immutable.
type countUpdate struct {
	requestedAt time.Time
	counts      map[string]uint32
}

// account is the state of one customer at this instance.
type account struct {
	mu     sync.Mutex
	window slidingWindow
	// admitted counts all admitted requests, and granted those of them granted by each control instance.
	admitted uint64
	granted  map[string]uint64
	// allowance is how many more requests may be admitted locally under allowanceUpdate. In Estimated mode it counts
	// the requests admitted since then.
	allowance       int
	allowanceUpdate *countUpdate
	// knownCount is the customer's count in allowanceUpdate, at least assumedCount. reportedCount is zero if it was not
	// reported.
	knownCount, reportedCount float64
	// refunds are the times when requests were charged that did not run. Others may take their place.
	refunds []time.Time
	// blockedNew and blockedAll are the times until which new programs, or all requests, are refused locally.
	blockedNew, blockedAll time.Time
	// blockedNeed is the need from which new programs are refused until blockedNew. They are told to retry at retryNewAt.
	blockedNeed          float64
	retryNewAt           time.Time
	blockedByCommitments bool
}

func (l *Limiter) elapsed(now time.Time) time.Duration {
	l.once.Do(func() { l.started = now })
	return now.Sub(l.started)
}

func (l *Limiter) account(customer string) *account {
	if a, ok := l.accounts.Load(customer); ok {
		return a.(*account)
	}
	a, _ := l.accounts.LoadOrStore(customer, &account{granted: map[string]uint64{}})
	return a.(*account)
}

// SetCounts sets the counts from an update that was requested at a time.
func (l *Limiter) SetCounts(requestedAt time.Time, counts []*fleetpb.CustomerCount) {
	u := &countUpdate{requestedAt: requestedAt, counts: make(map[string]uint32, len(counts))}
	for _, c := range counts {
		u.counts[c.GetCustomer()] = c.GetRequests()
	}
	l.latest.Store(u)
}

// Admit decides on one request of a customer.
func (l *Limiter) Admit(ctx context.Context, now time.Time, customer *fleetpb.Customer, newProgram bool) Decision {
	return l.AdmitRequest(ctx, now, customer, Request{NewProgram: newProgram})
}

// AdmitRequest decides on one request of a customer.
func (l *Limiter) AdmitRequest(ctx context.Context, now time.Time, customer *fleetpb.Customer, r Request) Decision {
	limit, ok := l.Params.limit(customer)
	if !ok {
		return Granted{}
	}
	a := l.account(customer.GetName())
	if at, ok := a.takeRefund(now); ok {
		g := Granted{charge{at: at, refund: true}}
		if !r.NewProgram {
			return g
		}
		return l.AdmitProgram(ctx, now, customer, r, g)
	}
	if d := a.admitLocally(l, now, customer.GetName(), limit, r); d != nil {
		return d
	}
	control, reply, err := l.AskControl(ctx, r.toControl(customer.GetName(), 1))
	switch {
	case err != nil || reply.GetUnsure():
		return a.admitWithoutControl(l, now, customer.GetName(), limit)
	case reply.GetGranted():
		a.grant(l, now, control)
		g := Granted{charge{at: now, control: control, process: reply.GetProcess()}}
		if r.NewProgram {
			g.charge.committed = r.Program
		}
		return g
	}
	return a.block(now, reply, r)
}

// admitLocally decides without asking a control instance, or returns nil.
func (a *account) admitLocally(l *Limiter, now time.Time, customer string, limit float64, r Request) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch l.Mode.(type) {
	case Central:
		return nil
	case Even:
		return a.admitEvenly(l, now, customer, limit)
	case Estimated:
		return a.admitByEstimate(l, now, customer, limit)
	}
	if a.isBlocked(now, r) && a.blockedNew.After(a.blockedAll) {
		return a.cachedRefusal(now)
	}
	if now.Before(a.blockedAll) {
		return Refused{RetryAfter: a.blockedAll.Sub(now)}
	}
	a.refreshAllowance(l, now, customer, limit)
	switch {
	case r.NewProgram && !a.useProgramAllowance(limit, r.requests()):
		return nil
	case !r.NewProgram && a.allowance <= 0:
		return nil
	case !r.NewProgram:
		a.allowance--
	}
	a.count(l, now)
	return Granted{charge{at: now, allowance: a.allowanceUpdate}}
}

// refreshAllowance computes the allowance from the latest update, once per update. The caller must hold mu.
func (a *account) refreshAllowance(l *Limiter, now time.Time, customer string, limit float64) {
	u := l.latest.Load()
	if u == nil || now.Sub(u.requestedAt) > updateTTL {
		a.allowance = 0
		return
	}
	if a.allowanceUpdate == u {
		return
	}
	a.allowanceUpdate = u
	a.reportedCount = float64(u.counts[customer])
	a.knownCount = max(a.reportedCount, assumedCount*limit)
	counterLimit := l.Params.counterLimit(limit)
	left := max(0, min(counterLimit-a.knownCount, l.Params.hardLimit(limit)-counterLimit))
	whole, fraction := math.Modf(left / float64(unreportedShares*max(1, l.EntryCount())))
	a.allowance = int(whole)
	if rand.Float64() < fraction {
		a.allowance++ // random rounding keeps the expected total
	}
}

// count records an admitted request. The caller must hold mu.
func (a *account) count(l *Limiter, now time.Time) {
	a.admitted++
	a.window.add(l.elapsed(now), l.Params.Window, 1)
}

func (a *account) grant(l *Limiter, now time.Time, control string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.granted[control]++
	a.count(l, now)
}

// block caches a refusal and returns it.
func (a *account) block(now time.Time, reply *fleetpb.AdmitReply, r Request) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	after := time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
	until := now.Add(min(after, refusalTTL))
	switch {
	case !r.NewProgram:
		a.blockedAll = until
	case reply.GetCommitted():
		// A program with a smaller need may still fit. Similar ones are told the time of this one.
		a.blockedNew, a.blockedNeed, a.retryNewAt, a.blockedByCommitments = until, similarNeed*r.Need, now.Add(after), true
	default:
		a.blockedNew, a.blockedNeed, a.retryNewAt, a.blockedByCommitments = until, 0, until, false
	}
	return Refused{RetryAfter: after, Committed: reply.GetCommitted()}
}

// admitWithoutControl decides when no control instance can be reached, or when the one asked is unsure.
func (a *account) admitWithoutControl(l *Limiter, now time.Time, customer string, limit float64) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if g, ok := a.admitEvenly(l, now, customer, limit).(Granted); ok {
		g.charge.withoutControl = true
		return g
	}
	return Unavailable{}
}

// admitEvenly decides by an even share of the limit. A hash selects the instances whose shares are rounded up, such
// that the shares add up to the limit on average. The caller must hold mu.
func (a *account) admitEvenly(l *Limiter, now time.Time, customer string, limit float64) Decision {
	whole, fraction := math.Modf(limit / float64(max(1, l.EntryCount())))
	if float64(xxhash.Sum64String(l.Instance+"\x00"+customer))/math.MaxUint64 < fraction {
		whole++
	}
	used := a.window.count(l.elapsed(now), l.Params.Window)
	if float64(used)+1 > whole {
		return Refused{RetryAfter: a.window.timeUntil(l.elapsed(now), l.Params.Window, whole-1)}
	}
	a.count(l, now)
	return Granted{charge{at: now}}
}

// admitByEstimate decides by the latest update. The caller must hold mu.
func (a *account) admitByEstimate(l *Limiter, now time.Time, customer string, limit float64) Decision {
	u := l.latest.Load()
	if u == nil {
		return a.admitEvenly(l, now, customer, limit)
	}
	if a.allowanceUpdate != u {
		a.allowanceUpdate, a.knownCount, a.allowance = u, float64(u.counts[customer]), 0
	}
	if a.knownCount+float64(a.allowance)+1 > limit {
		return Refused{RetryAfter: refusalTTL}
	}
	a.allowance++
	a.count(l, now)
	return Granted{charge{at: now}}
}

// CountRetry counts a request that may run a second time, at another endpoint.
func (l *Limiter) CountRetry(now time.Time, customer *fleetpb.Customer) {
	if _, ok := l.Params.limit(customer); !ok {
		return
	}
	a := l.account(customer.GetName())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(l, now)
}

// Refund returns the grant of a request that has not run and will not run.
func (l *Limiter) Refund(now time.Time, customer *fleetpb.Customer, g Granted) {
	if _, ok := l.Params.limit(customer); !ok {
		return
	}
	a := l.account(customer.GetName())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refund(now, g.charge)
}

// refund is Refund of the limiter. The caller must hold mu.
func (a *account) refund(now time.Time, c charge) {
	a.refunds = append(a.refunds, c.at)
	a.dropExpiredRefunds(now)
}

// dropExpiredRefunds keeps refunds from outliving the counts of their requests. The caller must hold mu.
func (a *account) dropExpiredRefunds(now time.Time) {
	a.refunds = slices.DeleteFunc(a.refunds, func(at time.Time) bool { return now.Sub(at) >= refundTTL })
}

// takeRefund returns when a request was charged that did not run, and whose place another one may take. It returns false
// if there is none.
func (a *account) takeRefund(now time.Time) (at time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dropExpiredRefunds(now)
	if len(a.refunds) == 0 {
		return time.Time{}, false
	}
	at = a.refunds[0]
	a.refunds = slices.Delete(a.refunds, 0, 1)
	return at, true
}

// AdmittedRequests is the number of admitted requests of a customer.
type AdmittedRequests struct {
	Customer string
	Requests uint64
}

// Admitted returns the requests of each customer admitted since the process started, except those granted by a control
// instance, which has counted them itself.
func (l *Limiter) Admitted(control string) []AdmittedRequests {
	return l.uses(func(a *account) uint64 { return a.admitted - a.granted[control] })
}

// RecentlyAdmitted returns the requests of each customer admitted within the window.
func (l *Limiter) RecentlyAdmitted(now time.Time) []AdmittedRequests {
	at := l.elapsed(now)
	return l.uses(func(a *account) uint64 { return uint64(a.window.count(at, l.Params.Window)) })
}

func (l *Limiter) uses(count func(*account) uint64) []AdmittedRequests {
	var out []AdmittedRequests
	l.accounts.Range(func(name, value any) bool {
		a := value.(*account)
		a.mu.Lock()
		defer a.mu.Unlock()
		if n := count(a); n > 0 {
			out = append(out, AdmittedRequests{Customer: name.(string), Requests: n})
		}
		return true
	})
	return out
}
