// SPDX-License-Identifier: MIT

package controller

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// bytesIn is the size of the largest file of a data folder by a name's beginning.
func bytesIn(t *testing.T, dir, name string) int64 {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, name+"-*"))
	if err != nil {
		t.Fatal(err)
	}
	most := int64(0)
	for _, f := range files {
		info, err := os.Stat(f)
		if err != nil {
			t.Fatal(err)
		}
		most = max(most, info.Size())
	}
	return most
}

// TestAPromiseDoesNotCostWhatIsConfigured: every read by an operator wrote the whole
// configuration to the disks of all voters, twice the work of accepting it. A change counts once
// two of three have accepted it, and a read that meets the third brings it there, as it must; so
// all three are waited for.
func TestAPromiseDoesNotCostWhatIsConfigured(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 1, large("one"))
	await(t, func() bool { return acceptedByAll(core, large("one")) })
	var before [][]byte
	for _, p := range core {
		before = append(before, p.controller.disk.value.Value())
	}
	if _, err := core[0].controller.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	if n := bytesIn(t, core[0].dir, "promise"); n == 0 || n > 1000 {
		t.Errorf("a promise takes %d bytes on the disk", n)
	}
	for i, p := range core {
		if after := p.controller.disk.value.Value(); !bytes.Equal(after, before[i]) || len(after) < len(large("one")) {
			t.Errorf("voter %d wrote the value anew: %d bytes, %d before", i, len(after), len(before[i]))
		}
	}
}

// acceptedByAll reports whether all voters have accepted a document, under one ballot.
func acceptedByAll(core []*place, document string) bool {
	newest := core[0].controller.acceptorRecord()
	for _, p := range core {
		r := p.controller.acceptorRecord()
		if register.CompareBallots(r.GetAccepted(), newest.GetAccepted()) != 0 {
			return false
		}
	}
	return string(newest.GetState().GetConfiguration().GetDocument()) == document
}

// TestAPromiseSurvivesARestart: alone, after a value, and before another one.
func TestAPromiseSurvivesARestart(t *testing.T) {
	ballot := func(round uint64) *fleetpb.Ballot { return &fleetpb.Ballot{Round: round, Proposer: 1} }
	dir := t.TempDir()
	v, record, err := openVotes(dir)
	if err != nil || record != nil {
		t.Fatalf("%v on a new disk, %v", record, err)
	}
	reopened := func(want *fleetpb.AcceptorRecord) {
		t.Helper()
		if v, record, err = openVotes(dir); err != nil || !proto.Equal(record, want) {
			t.Fatalf("%v, %v, want %v", record, err, want)
		}
	}
	want := &fleetpb.AcceptorRecord{Promised: ballot(3), Formed: true}
	if err := v.savePromise(want); err != nil {
		t.Fatal(err)
	}
	reopened(want)
	want = &fleetpb.AcceptorRecord{Promised: ballot(4), Accepted: ballot(4), State: &fleetpb.State{Number: 1}, Formed: true}
	if err := v.saveValue(want); err != nil {
		t.Fatal(err)
	}
	reopened(want)
	want.Promised = ballot(9)
	if err := v.savePromise(want); err != nil {
		t.Fatal(err)
	}
	reopened(want)
	want = &fleetpb.AcceptorRecord{Promised: ballot(10), Accepted: ballot(10), State: &fleetpb.State{Number: 2}, Formed: true}
	if err := v.saveValue(want); err != nil {
		t.Fatal(err)
	}
	reopened(want)
}

// BenchmarkRead is a read by an operator, BenchmarkPut a change of one route, by three
// control instances in one process.
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{100, 10000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			core := newCore(b)
			put(b, core[0], 1, string(configuration(b, 1, n)))
			for b.Loop() {
				if _, err := core[0].controller.Read(b.Context()); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkPut(b *testing.B) {
	for _, n := range []int{100, 10000} {
		b.Run(fmt.Sprintf("routes=%d", n), func(b *testing.B) {
			core := newCore(b)
			version := uint64(0)
			for b.Loop() {
				version++
				put(b, core[0], version, string(configuration(b, version, n+int(version))))
			}
		})
	}
}

// TestNoVoteBeginsAfterAStop: a round that began while its instance stopped went on to write
// to a disk that counted as closed; the race detector saw it in a restart of all.
func TestNoVoteBeginsAfterAStop(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 1, "one")
	c := core[0].controller
	core[0].stop()
	before := c.acceptorRecord()
	var unavailable *UnavailableError
	ctx, cancel := context.WithTimeout(t.Context(), roundWithin)
	defer cancel()
	if _, err := c.Read(ctx); !errors.As(err, &unavailable) {
		t.Errorf("%v, want an UnavailableError", err)
	}
	if !proto.Equal(c.acceptorRecord(), before) {
		t.Error("a promise was given after the stop")
	}
}
