// SPDX-License-Identifier: MIT

package membudget

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

const (
	// requestBytes is what one request may hold beyond its body, in bytes.
	requestBytes = 256 << 10
	// reserveDivisor is the fraction of the budget, as 1/n, that is left to bodies being read when
	// the budget counts as used up. It exceeds the largest body in instances with 112 MB.
	reserveDivisor = 16
	// checkInterval is the interval at which slow clients are looked for while the budget is used
	// up. Bodies wait several times longer.
	checkInterval = 50 * time.Millisecond
	// smallBytes is what a request of usual size holds at the most. Such requests don't wait behind larger ones.
	smallBytes = 128 << 10
	// stallTime is how long a request that is being read may make no progress while others need its room.
	stallTime = 200 * time.Millisecond
)

// Client is the client of a request.
type Client interface {
	// Disconnect closes the client's connection. It must not block.
	Disconnect()
}

// Budget is the memory budget of an instance. Set the exported fields before the first call.
type Budget struct {
	// MaxBytes limits the bytes that all requests hold.
	MaxBytes int64
	Metrics  tally.Scope

	mu   sync.Mutex
	held int64
	// waiting are the charges that wait for room, the oldest first.
	waiting []*charge
	// blocked are the accounts whose client does not accept more bytes.
	blocked map[*Account]bool
	// reading are the accounts of requests that are being read.
	reading map[*Account]bool
	// checking is true while a check for slow clients is scheduled.
	checking bool
}

// charge is a charge that waits for room.
type charge struct {
	account *Account
	bytes   int64
	// done is closed once the bytes are charged, or refused if refused is true.
	done    chan struct{}
	refused bool
}

// isSmall reports whether the charge is that of a request of usual size.
func (c *charge) isSmall() bool { return isSmall(c.account, c.bytes) }

func isSmall(a *Account, n int64) bool { return a.bytes()+n <= smallBytes }

// Held returns the bytes that all requests hold.
func (b *Budget) Held() int64 {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// Admit reports whether a new request may start. It counts refusals.
func (b *Budget) Admit() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.isUsedUp() {
		b.countRefusal()
		return false
	}
	return true
}

// Open returns the account of a new request. The client may be nil.
func (b *Budget) Open(c Client) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, client: c}
}

// isUsedUp reports whether only the reserve is left.
func (b *Budget) isUsedUp() bool { return b.held > b.usableBytes() }

// usableBytes returns the budget without its reserve.
func (b *Budget) usableBytes() int64 { return b.MaxBytes - b.MaxBytes/reserveDivisor }

func (b *Budget) countRefusal() { b.Metrics.Counter("refused_by_memory").Inc(1) }

// add changes the held bytes, grants waiting charges that fit, and schedules a check if the
// budget is used up.
func (b *Budget) add(n int64) {
	b.held += n
	blocked := false
	b.waiting = slices.DeleteFunc(b.waiting, func(c *charge) bool {
		fits := b.held+c.bytes <= b.MaxBytes
		if !fits || blocked && !c.isSmall() {
			blocked = true
			return false
		}
		b.held += c.bytes
		c.account.bodyBytes += c.bytes
		c.account.waiting = false
		close(c.done)
		return true
	})
	b.Metrics.Gauge("held_bytes").Update(float64(b.held))
	if b.isUsedUp() {
		b.scheduleCheck()
	}
}

// scheduleCheck has the budget checked after checkInterval. The caller holds mu.
func (b *Budget) scheduleCheck() {
	if !b.checking {
		b.checking = true
		time.AfterFunc(checkInterval, b.check)
	}
}

// check disconnects slow clients if the budget is still used up, ends the reading of requests that make no progress if others wait for
// their room, and schedules the next check.
func (b *Budget) check() {
	now := time.Now()
	for _, a := range b.takeSlow(now) {
		a.client.Disconnect()
	}
	b.takeNeeded(now).run()
}

// evictions are functions that end the reading of requests. They are called without the budget's lock.
type evictions []func()

func (e *evictions) add(others evictions) { *e = append(*e, others...) }

func (e *evictions) run() {
	for _, evict := range *e {
		evict()
	}
}

// takeNeeded takes the requests whose reading ends for the sake of those that wait, and of the reserve.
func (b *Budget) takeNeeded(now time.Time) *evictions {
	b.mu.Lock()
	defer b.mu.Unlock()
	large, small := max(0, b.held-b.usableBytes()), int64(0)
	for _, c := range b.waiting {
		if c.isSmall() {
			small += c.bytes
		} else {
			large += c.bytes
		}
	}
	out := b.takeStalled(now, small, true)
	out.add(b.takeStalled(now, large, false))
	if len(b.waiting) > 0 {
		b.scheduleCheck()
	}
	return &out
}

// takeStalled takes requests that are being read and have made no progress for stallTime, until they hold a number of bytes: first those
// that hold the most for the longest time. For requests of usual size, larger ones that wait for room give way too. The caller holds mu, and
// calls the functions without it.
func (b *Budget) takeStalled(now time.Time, need int64, small bool) (out evictions) {
	var stalled []*Account
	for a := range b.reading {
		switch {
		case a.evict == nil:
			// It was evicted, and is about to release its bytes.
			need -= a.bytes()
		case a.waiting:
			if small && a.bytes() > smallBytes {
				stalled = append(stalled, a)
			}
		case a.bytes() > 0 && now.Sub(a.lastRead) >= stallTime:
			stalled = append(stalled, a)
		}
	}
	if need <= 0 {
		return nil
	}
	weight := func(a *Account) float64 { return float64(a.bytes()) * now.Sub(a.lastRead).Seconds() }
	slices.SortFunc(stalled, func(a, c *Account) int { return cmp.Compare(weight(c), weight(a)) })
	for _, a := range stalled {
		if need <= 0 {
			break
		}
		need -= a.bytes()
		out = append(out, a.evict)
		a.evict = nil
		b.refuseCharge(a)
		b.Metrics.Counter("requests_evicted").Inc(1)
	}
	return out
}

// refuseCharge refuses the charge that an account waits for, if there is one. The caller holds mu.
func (b *Budget) refuseCharge(a *Account) {
	b.waiting = slices.DeleteFunc(b.waiting, func(c *charge) bool {
		if c.account != a {
			return false
		}
		a.waiting, c.refused = false, true
		close(c.done)
		return true
	})
}

// takeSlow marks and returns the clients to disconnect at now.
func (b *Budget) takeSlow(now time.Time) []*Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.checking = b.isUsedUp()
	if !b.checking {
		return nil
	}
	time.AfterFunc(checkInterval, b.check)
	// left are the bytes held once the clients that were disconnected have released theirs.
	left := b.held
	for a := range b.blocked {
		if a.cut {
			left -= a.bytes()
		}
	}
	var out []*Account
	for left > b.usableBytes() {
		a := b.largestSlow(now)
		if a == nil {
			break
		}
		a.cut = true
		left -= a.bytes()
		out = append(out, a)
		b.Metrics.Counter("clients_cut_slow").Inc(1)
	}
	return out
}

// largestSlow returns the account with the most bytes whose client has accepted nothing for longer
// than its pause, nil if there is none.
func (b *Budget) largestSlow(now time.Time) *Account {
	var out *Account
	for a := range b.blocked {
		slow := !a.cut && a.client != nil && a.pause > 0 && now.Sub(a.progress) > a.pause
		if slow && (out == nil || a.bytes() > out.bytes()) {
			out = a
		}
	}
	return out
}
