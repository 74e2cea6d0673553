// SPDX-License-Identifier: MIT

package membudget

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
)

const kb = 1 << 10

func newBudget() *Budget { return &Budget{MaxBytes: 1600 * kb, Metrics: tally.NoopScope} }

// fakeClient closes its account when it is disconnected.
type fakeClient struct {
	account *Account
	cut     bool
}

func (c *fakeClient) Disconnect() {
	c.cut = true
	c.account.Close()
}

// slowClient returns a blocked client that holds bytes.
func slowClient(t *testing.T, b *Budget, body int64, pause time.Duration) *fakeClient {
	c := &fakeClient{}
	c.account = b.Open(c)
	c.account.SetPause(pause)
	if err := c.account.ChargeBody(t.Context(), body); err != nil {
		t.Fatal(err)
	}
	c.account.SetBlocked(time.Now())
	return c
}

// advance lets time pass in a bubble and waits for the checks due in it.
func advance(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// TestLimits guards against read-ahead beyond the request's budget or into the reserve, against
// new requests when only the reserve is left, and against releases that are counted twice.
func TestLimits(t *testing.T) {
	b := newBudget()
	a := b.Open(nil)
	if !a.TryAhead(requestBytes) || a.TryAhead(1) {
		t.Error("the request's budget is not 256 KB")
	}
	body := b.Open(nil)
	if err := body.ChargeBody(t.Context(), 1250*kb); err != nil || b.Admit() {
		t.Errorf("%v, or a request was admitted with %d of %d bytes held", err, b.Held(), b.MaxBytes)
	}
	if body.TryAhead(1) {
		t.Error("read-ahead from the reserve")
	}
	a.Close()
	a.Close()
	a.ReleaseAhead(kb)
	if a.TryAhead(1) || b.Held() != 1250*kb || !b.Admit() {
		t.Errorf("%d bytes are held after a request ended", b.Held())
	}
	body.Close()
	if b.Held() != 0 {
		t.Errorf("%d bytes are held by no request", b.Held())
	}
}

// TestBodiesWait guards against a body that waits longer than 0.25 s in total, one that never gets
// the room that others release, and one that is overtaken for ever.
func TestBodiesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		first, second := b.Open(nil), b.Open(nil)
		if err := first.ChargeBody(t.Context(), 1500*kb); err != nil {
			t.Fatal(err)
		}
		time.AfterFunc(maxBodyWait/2, first.Close)
		start := time.Now()
		if err := second.ChargeBody(t.Context(), 1600*kb); err != nil || time.Since(start) != maxBodyWait/2 {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		var usedUp *UsedUpError
		if err := second.ChargeBody(t.Context(), 1); !errors.As(err, &usedUp) || time.Since(start) != maxBodyWait {
			t.Errorf("%v after %v", err, time.Since(start))
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if err := b.Open(nil).ChargeBody(ctx, 1); err != context.Canceled {
			t.Error(err)
		}
		second.Close()
		if b.Held() != 0 || len(b.waiting) != 0 {
			t.Errorf("%d bytes held, %d waiting", b.Held(), len(b.waiting))
		}
	})
}

// TestSlowClientsAreDisconnected guards against clients that are cut while there is room, in the wrong
// order, in greater number than needed, or although they read.
func TestSlowClientsAreDisconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		small := slowClient(t, b, 200*kb, time.Second)
		large := slowClient(t, b, 500*kb, time.Second)
		patient := slowClient(t, b, 600*kb, time.Minute)
		reading := slowClient(t, b, 100*kb, time.Second)
		advance(5 * time.Second)
		if small.cut || large.cut {
			t.Fatal("a client was disconnected while there was room")
		}
		start := time.Now()
		reading.account.RecordProgress(start)
		rest := b.Open(nil)
		if err := rest.ChargeBody(t.Context(), 150*kb); err != nil {
			t.Fatal(err)
		}
		advance(2 * checkInterval)
		if !large.cut || small.cut || patient.cut || reading.cut {
			t.Errorf("large %v, small %v, patient %v, reading %v", large.cut, small.cut, patient.cut, reading.cut)
		}
		if b.checking {
			t.Error("checks go on while there is room")
		}
	})
}

// TestNoBudget guards against a limit where none is set.
func TestNoBudget(t *testing.T) {
	var b *Budget
	a := b.Open(nil)
	a.SetBlocked(time.Now())
	if err := a.ChargeBody(t.Context(), 1<<40); err != nil || !a.TryAhead(1<<40) || !b.Admit() {
		t.Errorf("limited without a budget: %v", err)
	}
	a.Close()
}

// TestWhoMakesNoProgressGivesWay guards against requests that stop short of their end and keep the room of others for good, and against one
// that gives way although it makes progress.
func TestWhoMakesNoProgressGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		evicted := map[string]int{}
		open := func(name string, n int64) *Account {
			a := b.Open(nil)
			a.BeginReading(func() {
				evicted[name]++
				a.Close()
			})
			if err := a.ChargeBody(t.Context(), n); err != nil {
				t.Fatal(err)
			}
			return a
		}
		large, small, whole := open("large", 800*kb), open("small", 100*kb), open("whole", 300*kb)
		whole.EndReading()
		slow := open("slow", 300*kb)
		advance(2 * stallTime)
		slow.RecordRead(time.Now())
		open("usual", 200*kb).Close()
		if len(evicted) != 1 || evicted["large"] != 1 {
			t.Errorf("evicted: %v, want the largest one that made no progress", evicted)
		}
		for _, a := range []*Account{large, small, whole, slow} {
			a.Close()
		}
		if b.Held() != 0 {
			t.Errorf("%d bytes are held", b.Held())
		}
	})
}

// TestUsualRequestsPassLargeOnesThatWait guards against a request of usual size that is refused because larger ones have taken all room and
// wait for more.
func TestUsualRequestsPassLargeOnesThatWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBudget()
		refused := make(chan error, 2)
		for range 2 {
			a := b.Open(nil)
			a.BeginReading(func() {})
			if err := a.ChargeBody(t.Context(), 800*kb); err != nil {
				t.Fatal(err)
			}
			go func() {
				defer a.Close()
				refused <- a.ChargeBody(t.Context(), 800*kb)
			}()
		}
		synctest.Wait()
		begun := time.Now()
		usual := b.Open(nil)
		usual.BeginReading(func() {})
		if err := usual.ChargeBody(t.Context(), 32*kb); err != nil || time.Since(begun) > 0 {
			t.Errorf("%v after %v", err, time.Since(begun))
		}
		var usedUp *UsedUpError
		if err := <-refused; !errors.As(err, &usedUp) {
			t.Errorf("%v for a large request that waits, want a UsedUpError", err)
		}
		usual.Close()
		<-refused
		if b.Held() != 0 {
			t.Errorf("%d bytes are held", b.Held())
		}
	})
}
