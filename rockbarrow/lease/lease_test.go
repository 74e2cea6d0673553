// SPDX-License-Identifier: MIT

package lease

import (
	"testing"
	"time"
)

func TestALeaseRestsOnTheTableInForce(t *testing.T) {
	begun := time.Now()
	at := func(ms int) time.Time { return begun.Add(time.Duration(ms) * time.Millisecond) }
	l := &Lease{TTL: time.Second}
	if l.Valid(at(0), 9) {
		t.Error("it holds before anything was confirmed")
	}
	l.Confirm(3, at(0))
	l.Confirm(4, at(500))
	tests := []struct {
		name    string
		now     time.Time
		version uint64
		want    bool
	}{
		{"an older table", at(100), 2, false},
		{"the table of the first confirmation", at(900), 3, true},
		{"it is not renewed by a newer version", at(1100), 3, false},
		{"the newer table is", at(1100), 4, true},
		{"a table that is newer still", at(1100), 7, true},
		{"its end", at(1500), 4, false},
	}
	for _, test := range tests {
		if got := l.Valid(test.now, test.version); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
	l.Confirm(4, at(200))
	if l.Valid(at(1600), 4) || !l.Valid(at(1400), 4) {
		t.Error("an answer that came late has altered it")
	}
}

func TestWithoutABoundKeysAreTrusted(t *testing.T) {
	l := &Lease{TTL: TTL(0)}
	if !l.Valid(time.Now(), 1) {
		t.Error("a lease without a bound has ended")
	}
	if l.WasNewestWithin(time.Now(), 1, time.Hour) {
		t.Error("a table counts as the newest although nobody said so")
	}
}

func TestManyVersionsAreRemembered(t *testing.T) {
	begun := time.Now()
	l := &Lease{TTL: time.Minute}
	for i := range 10 * maxPending {
		l.Confirm(uint64(i), begun.Add(time.Duration(i)*time.Millisecond))
	}
	if n := len(*l.confirmed.Load()); n != maxPending {
		t.Errorf("%d confirmations are kept", n)
	}
	if !l.Valid(begun, 10*maxPending) || l.Valid(begun, 0) {
		t.Error("the newest ones are not kept")
	}
}

// BenchmarkHolds is a request's look at the lease.
func BenchmarkHolds(b *testing.B) {
	l := &Lease{TTL: time.Minute}
	now := time.Now()
	l.Confirm(1, now)
	b.ReportAllocs()
	for b.Loop() {
		if !l.Valid(now, 1) {
			b.Fatal("ended")
		}
	}
}
