// SPDX-License-Identifier: MIT

package membudget

import (
	"context"
	"fmt"
	"slices"
	"time"
)

// maxBodyWait is how long a request's body waits for room in total.
const maxBodyWait = 250 * time.Millisecond

// UsedUpError reports that the instance's budget has no room for a request's body.
type UsedUpError struct{ Bytes int64 }

func (e *UsedUpError) Error() string {
	return fmt.Sprintf("membudget: no room for %d bytes", e.Bytes)
}

// Account is the part of a budget that one request holds. Close releases it.
type Account struct {
	budget *Budget
	client Client

	// The budget's mutex guards the fields below.

	// bodyBytes are those of the request's body, aheadBytes those of its response.
	bodyBytes, aheadBytes int64
	// waited is how long the body has waited for room.
	waited time.Duration
	// pause is how long the client may accept nothing while the budget is used up, zero for any
	// time.
	pause time.Duration
	// progress is when the client last accepted bytes. It is valid while the client is blocked.
	progress time.Time
	// evict ends the reading of the request; it is nil while the request is not being read. lastRead is when bytes of it last came.
	evict    func()
	lastRead time.Time
	// waiting is true while a charge waits for room.
	waiting bool
	// cut is true once the client is to be disconnected.
	cut, closed bool
}

func (a *Account) bytes() int64 { return a.bodyBytes + a.aheadBytes }

// ChargeBody charges bytes of the request's body and waits for room. The error is a [UsedUpError]
// or that of ctx.
func (a *Account) ChargeBody(ctx context.Context, n int64) error {
	if a == nil {
		return nil
	}
	c := a.startCharge(n)
	if c == nil {
		return nil
	}
	start := time.Now()
	t := time.NewTimer(maxBodyWait - a.waited)
	defer t.Stop()
	var err error
	select {
	case <-c.done:
	case <-t.C:
		err = &UsedUpError{Bytes: n}
	case <-ctx.Done():
		err = ctx.Err()
	}
	return a.endCharge(c, time.Since(start), err)
}

// BeginReading notes that the request is being read until EndReading. If the budget is used up, evict may be called once to end that,
// after the request has made no progress for a while. It must not block.
func (a *Account) BeginReading(evict func()) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	if b.reading == nil {
		b.reading = map[*Account]bool{}
	}
	b.reading[a] = true
	a.evict, a.lastRead = evict, time.Now()
}

// RecordRead notes that bytes of the request have come.
func (a *Account) RecordRead(now time.Time) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.lastRead = now
}

// EndReading notes that the request is whole, or not read any more.
func (a *Account) EndReading() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.reading, a)
	a.evict = nil
}

// TryBody charges bytes of the request and reports whether there is room. It does not wait.
func (a *Account) TryBody(n int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	var evicted evictions
	defer evicted.run()
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.held+n > b.MaxBytes {
		evicted.add(b.takeStalled(time.Now(), n, isSmall(a, n)))
		b.countRefusal()
		return false
	}
	a.bodyBytes += n
	b.add(n)
	return true
}

// startCharge charges bytes if there is room, or returns the charge that waits for it.
func (a *Account) startCharge(n int64) *charge {
	b := a.budget
	var evicted evictions
	defer evicted.run()
	b.mu.Lock()
	defer b.mu.Unlock()
	if (len(b.waiting) == 0 || isSmall(a, n)) && b.held+n <= b.MaxBytes {
		a.bodyBytes += n
		b.add(n)
		return nil
	}
	c := &charge{account: a, bytes: n, done: make(chan struct{})}
	b.waiting = append(b.waiting, c)
	a.waiting = true
	evicted.add(b.takeStalled(time.Now(), n, isSmall(a, n)))
	b.scheduleCheck()
	return c
}

// endCharge removes a charge that was not granted. It returns nil if the charge was granted.
func (a *Account) endCharge(c *charge, waited time.Duration, err error) error {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	a.waited += waited
	a.waiting = false
	if c.refused {
		b.countRefusal()
		return &UsedUpError{Bytes: c.bytes}
	}
	i := slices.Index(b.waiting, c)
	if i < 0 {
		return nil
	}
	b.waiting = slices.Delete(b.waiting, i, i+1)
	// Smaller charges behind this one may fit.
	b.add(0)
	if _, ok := err.(*UsedUpError); ok {
		b.countRefusal()
	}
	return err
}

// ReleaseBody releases bytes of the request's body.
func (a *Account) ReleaseBody(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.bodyBytes -= n
		a.budget.add(-n)
	}
}

// TryAhead charges bytes of the response that the client has not accepted. It reports false if the
// request's budget has no room or that of the instance is used up.
func (a *Account) TryAhead(n int64) bool {
	if a == nil {
		return true
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed || a.aheadBytes+n > requestBytes || b.held+n > b.usableBytes() {
		return false
	}
	a.aheadBytes += n
	b.add(n)
	return true
}

// ReleaseAhead releases bytes of the response.
func (a *Account) ReleaseAhead(n int64) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	if !a.closed {
		a.aheadBytes -= n
		a.budget.add(-n)
	}
}

// SetPause sets how long the client may accept nothing while the budget is used up.
func (a *Account) SetPause(d time.Duration) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.pause = d
}

// SetBlocked notes that the client accepts no more bytes.
func (a *Account) SetBlocked(now time.Time) {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	if b.blocked == nil {
		b.blocked = map[*Account]bool{}
	}
	b.blocked[a], a.progress = true, now
}

// RecordProgress notes that a blocked client has accepted bytes.
func (a *Account) RecordProgress(now time.Time) {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.progress = now
}

// ClearBlocked notes that the client has accepted all bytes.
func (a *Account) ClearBlocked() {
	if a == nil {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	delete(a.budget.blocked, a)
}

// Close releases all bytes. Later charges and releases do nothing.
func (a *Account) Close() {
	if a == nil {
		return
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if a.closed {
		return
	}
	a.closed, a.evict = true, nil
	delete(b.blocked, a)
	delete(b.reading, a)
	b.add(-a.bytes())
}
