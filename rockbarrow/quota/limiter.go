// SPDX-License-Identifier: MIT

package quota

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// updateTTL is how long the share of one piece of news may be used: four times as long as news take to come.
	updateTTL = 1500 * time.Millisecond
	// shares is how many shares of different news an instance may have used before the counter hears of the first
	// one: two before it told its count, and one after that.
	shares = 3
	// refundTTL is how long a request that did not run lets another one in its place.
	refundTTL = 500 * time.Millisecond
	// refusalTTL is how long a refusal is repeated at the most without asking again.
	refusalTTL = 200 * time.Millisecond
)

// Ask asks a control instance to let requests in. It returns who answered, for [Limiter.Uses].
type AdmitFunc func(ctx context.Context, req *fleetpb.AdmitRequest) (control string, reply *fleetpb.AdmitReply, err error)

// Way is how a limiter lets requests in: [Shared], [Central], [Estimated] or [Even].
type Mode interface{ way() }

// Shared lets requests in by shares of what is left, and asks beyond that. It is what instances use.
type Shared struct{}

// Central asks for each request.
type Central struct{}

// Estimated goes by the last news and what was let in since then alone, up to the limit.
type Estimated struct{}

// Even gives each instance an even share of the limit, whatever the others use.
type Even struct{}

func (Shared) way()    {}
func (Central) way()   {}
func (Estimated) way() {}
func (Even) way()      {}

// Limiter lets requests in on an entry instance. Set the exported fields before the first call.
type Limiter struct {
	Params Params
	// Way is how; nil is Shared.
	Mode Mode
	// Instance names the entry instance, and Entries returns how many there are.
	Instance   string
	EntryCount func() int
	AskControl AdmitFunc

	began    time.Time
	once     sync.Once
	accounts sync.Map // of *account by the customer's name
	news     atomic.Pointer[update]
}

// update is what was told of all customers. It does not change.
type update struct {
	asked  time.Time
	counts map[string]uint32
}

// account is one customer's requests at this instance.
type account struct {
	mu     sync.Mutex
	window window
	// let counts all requests that were let in, and granted those of them that each control instance granted.
	let     uint64
	granted map[string]uint64
	// share is what may be let in without asking under the news that it was made of.
	share   int
	sharing *update
	// told is what these news say of the customer.
	told float64
	// refunds are requests that did not run, and lets others in until a time.
	refunds      int
	refundsUntil time.Time
	// blocked is until when new programs, or all requests, are refused without asking.
	blockedNew, blockedAll time.Time
}

func (l *Limiter) since(now time.Time) time.Duration {
	l.once.Do(func() { l.began = now })
	return now.Sub(l.began)
}

func (l *Limiter) account(customer string) *account {
	if a, ok := l.accounts.Load(customer); ok {
		return a.(*account)
	}
	a, _ := l.accounts.LoadOrStore(customer, &account{granted: map[string]uint64{}})
	return a.(*account)
}

// Receive takes news, which were asked for at a moment.
func (l *Limiter) SetCounts(asked time.Time, counts []*fleetpb.CustomerCount) {
	n := &update{asked: asked, counts: make(map[string]uint32, len(counts))}
	for _, c := range counts {
		n.counts[c.GetCustomer()] = c.GetRequests()
	}
	l.news.Store(n)
}

// Admit decides about one request of a customer.
func (l *Limiter) Admit(ctx context.Context, now time.Time, customer *fleetpb.Customer, newProgram bool) Decision {
	limit, ok := l.Params.limit(customer)
	if !ok {
		return Granted{}
	}
	a := l.account(customer.GetName())
	if d := a.alone(l, now, customer.GetName(), limit, newProgram); d != nil {
		return d
	}
	control, reply, err := l.AskControl(ctx, &fleetpb.AdmitRequest{Customer: customer.GetName(), Requests: 1, NewProgram: newProgram})
	switch {
	case err != nil || reply.GetUnsure():
		return a.evenly(l, now, customer.GetName(), limit)
	case reply.GetGranted():
		a.grant(l, now, control)
		return Granted{}
	}
	after := time.Duration(reply.GetRetryAfterMs()) * time.Millisecond
	a.block(now, after, newProgram)
	return Refused{RetryAfter: after}
}

// alone decides without asking, or returns nil.
func (a *account) alone(l *Limiter, now time.Time, customer string, limit float64, newProgram bool) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.refunds > 0 && now.Before(a.refundsUntil) {
		// The request that did not run was counted.
		a.refunds--
		return Granted{}
	}
	switch l.Mode.(type) {
	case Central:
		return nil
	case Even:
		return a.even(l, now, customer, limit)
	case Estimated:
		return a.estimated(l, now, customer, limit)
	}
	blocked := a.blockedAll
	if newProgram && a.blockedNew.After(blocked) {
		blocked = a.blockedNew
	}
	if now.Before(blocked) {
		return Refused{RetryAfter: blocked.Sub(now)}
	}
	a.refresh(l, now, customer, limit)
	if a.share > 0 && !(newProgram && a.told >= newProgramShare*limit) {
		a.share--
		a.count(l, now)
		return Granted{}
	}
	return nil
}

// refresh makes the share of the newest news, unless that was done; the caller holds mu.
func (a *account) refresh(l *Limiter, now time.Time, customer string, limit float64) {
	n := l.news.Load()
	if n == nil || now.Sub(n.asked) > updateTTL {
		a.share = 0
		return
	}
	if a.sharing == n {
		return
	}
	a.sharing = n
	a.told = max(float64(n.counts[customer]), toldFrom*limit)
	bound := l.Params.bound(limit)
	left := max(0, min(bound-a.told, l.Params.most(limit)-bound))
	whole, part := math.Modf(left / float64(shares*max(1, l.EntryCount())))
	a.share = int(whole)
	if rand.Float64() < part {
		// Of shares below one, as many instances get a whole one as make up the sum.
		a.share++
	}
}

// count notes a request that was let in; the caller holds mu.
func (a *account) count(l *Limiter, now time.Time) {
	a.let++
	a.window.add(l.since(now), l.Params.Window, 1)
}

func (a *account) grant(l *Limiter, now time.Time, control string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.granted[control]++
	a.count(l, now)
}

func (a *account) block(now time.Time, after time.Duration, newProgram bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	until := now.Add(min(after, refusalTTL))
	if newProgram {
		a.blockedNew = until
	} else {
		a.blockedAll = until
	}
}

// evenly decides where nobody could be asked.
func (a *account) evenly(l *Limiter, now time.Time, customer string, limit float64) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	if d, ok := a.even(l, now, customer, limit).(Granted); ok {
		return d
	}
	return Unavailable{}
}

// even decides by an even share of the limit; the caller holds mu. What is left of shares by rounding off goes to
// as many instances as make up the limit, which a hash draws.
func (a *account) even(l *Limiter, now time.Time, customer string, limit float64) Decision {
	whole, part := math.Modf(limit / float64(max(1, l.EntryCount())))
	if float64(xxhash.Sum64String(l.Instance+"\x00"+customer))/math.MaxUint64 < part {
		whole++
	}
	used := a.window.count(l.since(now), l.Params.Window)
	if float64(used)+1 > whole {
		return Refused{RetryAfter: a.window.until(l.since(now), l.Params.Window, whole-1)}
	}
	a.count(l, now)
	return Granted{}
}

// estimated decides by the last news; the caller holds mu.
func (a *account) estimated(l *Limiter, now time.Time, customer string, limit float64) Decision {
	n := l.news.Load()
	if n == nil {
		return a.even(l, now, customer, limit)
	}
	if a.sharing != n {
		a.sharing, a.told, a.share = n, float64(n.counts[customer]), 0
	}
	if a.told+float64(a.share)+1 > limit {
		return Refused{RetryAfter: refusalTTL}
	}
	a.share++
	a.count(l, now)
	return Granted{}
}

// Charge counts a request that may run once more: a try at another endpoint.
func (l *Limiter) CountRetry(now time.Time, customer *fleetpb.Customer) {
	if _, ok := l.Params.limit(customer); !ok {
		return
	}
	a := l.account(customer.GetName())
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count(l, now)
}

// Return gives back what was granted to a request that certainly did not run, and never will.
func (l *Limiter) Refund(now time.Time, customer *fleetpb.Customer) {
	if _, ok := l.Params.limit(customer); !ok {
		return
	}
	a := l.account(customer.GetName())
	a.mu.Lock()
	defer a.mu.Unlock()
	if !now.Before(a.refundsUntil) {
		a.refunds = 0
	}
	a.refunds++
	a.refundsUntil = now.Add(refundTTL)
}

// Use is how many requests of a customer were let in.
type AdmittedRequests struct {
	Customer string
	Requests uint64
}

// Uses returns how many requests of each customer were let in since the process began, but for those that a control
// instance granted and has counted itself.
func (l *Limiter) Admitted(control string) []AdmittedRequests {
	return l.uses(func(a *account) uint64 { return a.let - a.granted[control] })
}

// Recent returns how many requests of each customer were let in within the window.
func (l *Limiter) RecentlyAdmitted(now time.Time) []AdmittedRequests {
	at := l.since(now)
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
