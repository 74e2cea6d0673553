// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/confighistory"
)

// TestFieldsOfOtherWritersChangeNothing guards against a configuration that is acknowledged for what its known fields say, and is
// never in force, or is in force with other values: its table was built by another reading, for which "Version" is "version".
func TestFieldsOfOtherWritersChangeNothing(t *testing.T) {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1, Domains: 4})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	f.operator.Extend = (&standin.ForeignFields{Rand: rand.New(rand.NewPCG(1, 0)), Every: 4}).Extend
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	for range 8 {
		if err := f.deploy(t.Context()); err != nil {
			t.Fatal(err)
		}
		for _, path := range []string{firstRoute, f.routes.live[len(f.routes.live)-1]} {
			f.awaitServed(t, client, path)
		}
	}
	f.operator.Check(t.Context())
	for _, b := range append(f.ledger.Violations(), f.failures()...) {
		t.Error(b)
	}
}

// awaitServed fails the test unless each entry instance comes to serve a path within the time in which a configuration must be in
// force.
func (f *fleet) awaitServed(t *testing.T, client *http.Client, path string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), confighistory.ApplyWithin)
	defer cancel()
	for _, e := range f.entries {
		for n, answered := 0, "nothing"; ; n++ {
			if !wait.For(ctx, 10*time.Millisecond) {
				t.Fatalf("%s: %s has last answered %s, %v after version %d was acknowledged", path, e.plan.Instance, answered, confighistory.ApplyWithin, f.version)
			}
			status, err := standin.Probe(ctx, client, e.plan.ConsumerAddress, host, path+"x", fmt.Sprintf("served%s%s%d-%d", e.plan.Instance, path, f.version, n))
			if status == http.StatusOK {
				break
			}
			// A probe that is cut off by the end of the time says nothing.
			if ctx.Err() == nil {
				answered = fmt.Sprintf("%d %v", status, err)
			}
		}
	}
}

// TestAVersionIsInForceBehindHalvesOfControl guards against an entry instance that follows only control instances without a majority
// of the voters, and gets no configuration while they are cut off from the others, which it could reach.
func TestAVersionIsInForceBehindHalvesOfControl(t *testing.T) {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 2, Domains: 4, Control: 6, NoCustomers: true})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	// Some two of them are a majority of the three voters.
	for i, one := range f.control {
		for _, other := range f.control[:i] {
			f.sides.cut([]*instance{one, other})
			if err := f.deploy(t.Context()); err != nil {
				t.Fatal(err)
			}
			f.awaitServed(t, client, f.routes.live[len(f.routes.live)-1])
			f.sides.heal()
		}
	}
	for _, b := range append(f.ledger.Violations(), f.failures()...) {
		t.Error(b)
	}
}

// connect opens a connection to an entry instance.
func connect(t *testing.T, e *instance) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", e.plan.ConsumerAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c.(*net.TCPConn)
}

// connectAndProbe opens a connection to an entry instance and sends a request on it. It tries again if the timeout of connections has
// passed by then, since the connection may be closed. It returns the connection and a moment before its last use.
func connectAndProbe(t *testing.T, e *instance, timeout time.Duration) (c *net.TCPConn, used time.Time) {
	t.Helper()
	for n := 0; ; n++ {
		used = time.Now()
		c = connect(t, e)
		status, err := standin.ProbeSlowly(c, host, firstRoute+"x", fmt.Sprintf("connect-%v-%d", timeout, n), 0)
		if status == http.StatusOK {
			return c, used
		}
		if time.Since(used) < timeout {
			t.Fatalf("status %d, %v", status, err)
		}
	}
}

// TestConnectionsObeyTheConfiguredTimeouts guards against an entry instance that acknowledged timeouts of connections have no effect on:
// it closes those whose clients still may use them, and keeps others.
func TestConnectionsObeyTheConfiguredTimeouts(t *testing.T) {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1, Domains: seeds, NoCustomers: true})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	deploy := func(header, idle time.Duration) {
		t.Helper()
		f.limits.HeaderTimeoutMs, f.limits.IdleTimeoutMs = uint32(header.Milliseconds()), uint32(idle.Milliseconds())
		if err := f.deploy(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.awaitServed(t, client, f.routes.live[len(f.routes.live)-1])
	}
	const short, middle, long = 500 * time.Millisecond, 3 * time.Second, 20 * time.Second
	// unset is the shorter of the defaults.
	const unset = 5 * time.Second
	e := f.entries[0]

	deploy(short, short)
	for _, name := range []string{"idle", "a head that goes on slowly"} {
		var c *net.TCPConn
		if name == "idle" {
			c, _ = connectAndProbe(t, e, short)
		} else {
			c = connect(t, e)
			io.WriteString(c, "GET ")
		}
		c.SetReadDeadline(time.Now().Add(short + confighistory.ApplyWithin))
		if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%s: the connection is kept for %v, the timeout is %v", name, short+confighistory.ApplyWithin, short)
		}
	}

	var kept *net.TCPConn
	for kept == nil {
		deploy(middle, middle)
		c, used := connectAndProbe(t, e, middle)
		deploy(long, long)
		// Otherwise it may have been closed before the longer timeout was in force.
		if time.Since(used) < middle {
			kept = c
		}
	}
	<-time.After(middle + time.Second)
	if status, err := standin.ProbeSlowly(kept, host, firstRoute+"x", "kept", unset+time.Second); status != http.StatusOK {
		t.Errorf("idle for %v, then a head of %v, of %v allowed: status %d, %v", middle+time.Second, unset+time.Second, long, status, err)
	}
}

// TestTheLimitOfHeadsIsObeyed guards against an acknowledged limit of heads that is in force only up to that of the HTTP library.
func TestTheLimitOfHeadsIsObeyed(t *testing.T) {
	f, stop, err := newFleet(t.Context(), Config{Dir: t.TempDir(), EntriesEach: 1, Domains: seeds, NoCustomers: true})
	if stop != nil {
		t.Cleanup(stop)
	}
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	t.Cleanup(client.CloseIdleConnections)
	for i, test := range []struct {
		limit, size, status int
	}{
		{limit: 16 << 10, size: 12 << 10, status: http.StatusOK},
		{limit: 16 << 10, size: 24 << 10, status: http.StatusRequestHeaderFieldsTooLarge},
		{limit: 3 << 20, size: 900 << 10, status: http.StatusOK},
		{limit: 3 << 20, size: 2900 << 10, status: http.StatusOK},
		{limit: 3 << 20, size: 3100 << 10, status: http.StatusRequestHeaderFieldsTooLarge},
		{limit: 64 << 10, size: 900 << 10, status: http.StatusRequestHeaderFieldsTooLarge},
	} {
		f.limits.HeaderBytes = uint32(test.limit)
		if err := f.deploy(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.awaitServed(t, client, f.routes.live[len(f.routes.live)-1])
		for _, e := range f.entries {
			status, err := standin.ProbeHead(t.Context(), client, e.plan.ConsumerAddress, host, firstRoute+"x", fmt.Sprint("head-", e.plan.Instance, i), test.size)
			if status != test.status {
				t.Errorf("a head of %d bytes of %d: status %d, %v, want %d", test.size, test.limit, status, err, test.status)
			}
		}
	}
}
