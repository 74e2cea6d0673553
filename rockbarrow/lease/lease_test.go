// SPDX-License-Identifier: MIT

package lease

import (
	"testing"
	"time"
)

func TestLeaseDependsOnTheTableVersion(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	l := &Lease{TTL: time.Second}
	if l.Valid(at(0), 9) {
		t.Error("the lease is valid before the first confirmation")
	}
	l.Confirm(3, at(0))
	l.Confirm(4, at(500))
	tests := []struct {
		name    string
		now     time.Time
		version uint64
		want    bool
	}{
		{"a table older than any confirmation", at(100), 2, false},
		{"the table of the first confirmation", at(900), 3, true},
		{"the first table after a confirmation of a newer one", at(1100), 3, false},
		{"the table of the second confirmation", at(1100), 4, true},
		{"a table newer than any confirmation", at(1100), 7, true},
		{"an expired lease", at(1500), 4, false},
	}
	for _, test := range tests {
		if got := l.Valid(test.now, test.version); got != test.want {
			t.Errorf("%s: valid is %v, want %v", test.name, got, test.want)
		}
	}
	l.Confirm(4, at(200))
	if l.Valid(at(1600), 4) || !l.Valid(at(1400), 4) {
		t.Error("a delayed confirmation changed the lease")
	}
}

func TestLeaseWithoutABoundDoesNotExpire(t *testing.T) {
	l := &Lease{TTL: TTL(0)}
	if !l.Valid(time.Now(), 1) {
		t.Error("a lease without a bound has expired")
	}
	if l.WasNewestWithin(time.Now(), 1, time.Hour) {
		t.Error("a table without a confirmation counts as the newest")
	}
}

func TestConfirmationsAreBounded(t *testing.T) {
	start := time.Now()
	l := &Lease{TTL: time.Minute}
	for i := range 10 * maxPending {
		l.Confirm(uint64(i), start.Add(time.Duration(i)*time.Millisecond))
	}
	if n := len(*l.confirmed.Load()); n != maxPending {
		t.Errorf("%d confirmations are kept, want %d", n, maxPending)
	}
	if !l.Valid(start, 10*maxPending) || l.Valid(start, 0) {
		t.Error("the newest confirmations are not kept")
	}
}

// BenchmarkValid measures the check of the lease for a request.
func BenchmarkValid(b *testing.B) {
	l := &Lease{TTL: time.Minute}
	now := time.Now()
	l.Confirm(1, now)
	b.ReportAllocs()
	for b.Loop() {
		if !l.Valid(now, 1) {
			b.Fatal("the lease has expired")
		}
	}
}
