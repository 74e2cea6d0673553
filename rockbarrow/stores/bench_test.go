// SPDX-License-Identifier: MIT

package stores_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/store"
	"rockbarrow.dev/rockbarrow/stores"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// acceptingStore is a store that acknowledges everything and keeps nothing, so
// that the benchmark does not depend on the speed of a disk.
type acceptingStore struct {
	fleetpb.UnimplementedStoreServer
}

func (acceptingStore) Reserve(_ context.Context, req *fleetpb.ReserveRequest) (*fleetpb.ReserveReply, error) {
	return &fleetpb.ReserveReply{
		Status: &fleetpb.StoreStatus{Epoch: req.GetEpoch(), WholeEpoch: req.GetEpoch()}, Endpoint: "endpoint-17", BornMs: 1,
		Reservations: []*fleetpb.Reservation{{Turn: req.GetTurn(), Tokens: req.GetTokens()}},
	}, nil
}

func (acceptingStore) Settle(_ context.Context, req *fleetpb.SettleRequest) (*fleetpb.SettleReply, error) {
	return &fleetpb.SettleReply{Status: &fleetpb.StoreStatus{Epoch: req.GetEpoch(), WholeEpoch: req.GetEpoch()}}, nil
}

func (acceptingStore) Lookup(_ context.Context, req *fleetpb.LookupRequest) (*fleetpb.LookupReply, error) {
	return &fleetpb.LookupReply{Status: &fleetpb.StoreStatus{Epoch: req.GetEpoch(), WholeEpoch: req.GetEpoch()}}, nil
}

func (a acceptingStore) Calls(stream fleetpb.Store_CallsServer) error {
	return (&store.Store{}).ServeCalls(stream, a)
}

// newAcceptingClient returns a client of five accepting stores.
func newAcceptingClient(b *testing.B) *stores.Client {
	view := &fleetpb.View{Epoch: 1, Copies: 5}
	for i := range 5 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		g := dial.NewServer()
		fleetpb.RegisterStoreServer(g, acceptingStore{})
		go serveUntilStopped(g, l)
		b.Cleanup(g.Stop)
		view.Members = append(view.Members, &fleetpb.Member{
			Instance: fmt.Sprint("store-", i), Storage: uint64(i + 1), FailureDomain: fmt.Sprint("domain-", i%3), Address: l.Addr().String(),
		})
	}
	w := &watch.Client{Self: &fleetpb.Member{Instance: "entry"}, Log: discardLogger()}
	w.UpdateState(&fleetpb.State{Number: 1, View: view})
	pool := &dial.Pool{}
	b.Cleanup(pool.Close)
	return &stores.Client{Watch: w, Pool: pool, Domain: "domain-1", TurnCache: &stores.Cache{MaxBytes: 1 << 20}}
}

// BenchmarkTurn measures what a turn costs an entry instance and five stores
// together, without the disk: processor time, reads and writes, and voluntary
// context switches. Few turns run at a time, as in production.
func BenchmarkTurn(b *testing.B) {
	c := newAcceptingClient(b)
	var n, failed atomic.Int64
	turn := func() {
		id := fmt.Sprint("turn-", n.Add(1))
		g, err := c.Reserve(b.Context(), stores.Turn{ID: id, Program: id, MaxTokens: 10, Retention: time.Minute})
		if err == nil {
			err = c.Settle(b.Context(), g, 5, &fleetpb.Turn{Id: id, Home: id})
		}
		if err != nil {
			failed.Add(1)
		}
	}
	for range 10 {
		turn()
	}
	before := readUsage(b)
	b.SetParallelism(1)
	b.ReportAllocs()
	b.ResetTimer()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			turn()
		}
	})
	after := readUsage(b)
	// On a busy machine, stores may take too long to answer.
	if failed.Load() > int64(b.N/100) {
		b.Error(failed.Load(), " turns failed")
	}
	b.ReportMetric(float64((after.cpu-before.cpu).Nanoseconds())/1e3/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(after.switches-before.switches)/float64(b.N), "switches/op")
	b.ReportMetric(float64(after.calls-before.calls)/float64(b.N), "rw-calls/op")
}

// usage is what this process has used: processor time, voluntary context
// switches, and read and write system calls.
type usage struct {
	cpu             time.Duration
	switches, calls int64
}

func readUsage(b *testing.B) usage {
	b.Helper()
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	u := usage{cpu: time.Duration(r.Utime.Nano() + r.Stime.Nano()), switches: r.Nvcsw}
	io, err := os.ReadFile("/proc/self/io")
	if err != nil {
		b.Fatal(err)
	}
	for line := range strings.Lines(string(io)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		if name != "syscr" && name != "syscw" {
			continue
		}
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			b.Fatal(err)
		}
		u.calls += n
	}
	return u
}
