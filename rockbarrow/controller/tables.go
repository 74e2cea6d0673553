// SPDX-License-Identifier: MIT

package controller

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/schema/fleetpb"
)

// keptChanges is how many changes of the table are kept for instances that lag: some ten
// seconds of changes at three a second. A change of 1,400 routes is some 14 KB.
const keptChanges = 32

// tables makes the routing table of each configuration that comes to be known, once for
// all entry instances, and keeps what changed from each to the next.
type tables struct {
	controller *Controller
	// woken has room for one: a newer state is known.
	woken chan struct{}
	// refused is the newest version that made no table. Only the loop uses it.
	refused uint64

	mu     sync.Mutex
	newest *madeTable
	// changes lead to the newest table; each begins with what the one before ended with.
	changes []tableChange
	// made is closed and replaced whenever there is a newer table.
	made chan struct{}
}

// tableChange is a change as it is sent.
type tableChange struct {
	base  []byte
	parts []*fleetpb.TablePart
}

// madeTable is a table with its parts, for who holds nothing that it can be made from.
type madeTable struct {
	*routing.Table
	once  sync.Once
	parts []*fleetpb.TablePart
	err   error
}

func (t *tables) init(c *Controller) {
	t.controller, t.woken, t.made = c, make(chan struct{}, 1), make(chan struct{})
}

// wake tells the loop that a newer state may be known. It never blocks.
func (t *tables) wake() {
	select {
	case t.woken <- struct{}{}:
	default:
	}
}

// loop makes tables until ctx ends. Nothing else waits for it, so that a large
// configuration holds up no other news.
func (t *tables) loop(ctx context.Context) {
	for {
		select {
		case <-t.woken:
			t.take(t.controller.State().GetConfiguration())
		case <-ctx.Done():
			return
		}
	}
}

// take makes the table of a configuration that is newer than the newest table.
func (t *tables) take(cfg *fleetpb.Configuration) {
	before := t.table()
	if cfg.GetVersion() <= max(before.Version(), t.refused) {
		return
	}
	begun := time.Now()
	table, change, err := t.next(before, cfg)
	var parts []*fleetpb.TablePart
	if err == nil {
		parts, err = pack(change)
	}
	if err != nil {
		t.refused = cfg.GetVersion()
		t.controller.Log.WithError(err).WithField("config_version", cfg.GetVersion()).Error("the configuration is not readable here")
		return
	}
	t.mu.Lock()
	t.newest = &madeTable{Table: table}
	t.changes = append(t.changes, tableChange{base: change.GetBase(), parts: parts})
	t.changes = slices.Delete(t.changes, 0, max(0, len(t.changes)-keptChanges))
	close(t.made)
	t.made = make(chan struct{})
	t.mu.Unlock()
	t.controller.Log.WithFields(logrus.Fields{
		"config_version": table.Version(), "routes": table.RouteCount(), "changed": len(change.GetRoutes()) + len(change.GetRemovedRoutes()),
		"took_ms": time.Since(begun).Milliseconds(),
	}).Info("the routing table of a configuration is made")
}

func (t *tables) next(before *routing.Table, cfg *fleetpb.Configuration) (*routing.Table, *fleetpb.TableChange, error) {
	d, err := t.controller.Decode(cfg.GetDocument())
	if err != nil {
		return nil, nil, err
	}
	return before.ApplyDocument(d)
}

// table returns the newest table, or nil before there is one.
func (t *tables) table() *routing.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest == nil {
		return nil
	}
	return t.newest.Table
}

// since returns what makes the newest table of the one with a digest. Until there is a
// table of a version it returns a channel that is closed at the next one instead.
func (t *tables) since(held []byte, version uint64) (parts []*fleetpb.TablePart, wait <-chan struct{}, err error) {
	t.mu.Lock()
	newest, made := t.newest, t.made
	at := slices.IndexFunc(t.changes, func(c tableChange) bool { return bytes.Equal(c.base, held) })
	changes := slices.Clone(t.changes[max(0, at):])
	t.mu.Unlock()
	switch {
	case newest == nil || newest.Version() < version:
		return nil, made, nil
	case bytes.Equal(newest.Digest(), held):
		return nil, nil, nil
	case at < 0 || len(held) == 0:
		parts, err = newest.whole()
		return parts, nil, err
	}
	for _, c := range changes {
		parts = append(parts, c.parts...)
	}
	return parts, nil, nil
}

// whole returns the parts of the whole table.
func (m *madeTable) whole() ([]*fleetpb.TablePart, error) {
	m.once.Do(func() {
		change, err := m.Snapshot()
		if err != nil {
			m.err = err
			return
		}
		m.parts, m.err = pack(change)
	})
	return m.parts, m.err
}

// pack compresses the parts of a change, once for all receivers.
func pack(change *fleetpb.TableChange) ([]*fleetpb.TablePart, error) {
	var out []*fleetpb.TablePart
	for _, part := range routing.SplitChange(change) {
		b, err := proto.Marshal(part)
		if err != nil {
			return nil, err
		}
		frame, err := document.Compress(b)
		if err != nil {
			return nil, err
		}
		out = append(out, &fleetpb.TablePart{Frame: frame})
	}
	return out, nil
}

// Table streams what the caller's table lacks.
func (c *Controller) Table(req *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
	if c.Decode == nil {
		return status.Error(codes.Unimplemented, "controller: no tables are made here")
	}
	for {
		parts, wait, err := c.tables.since(req.GetHeld(), req.GetVersion())
		if err != nil {
			return err
		}
		if wait == nil {
			return send(stream, parts)
		}
		select {
		case <-wait:
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

func send(stream grpc.ServerStreamingServer[fleetpb.TablePart], parts []*fleetpb.TablePart) error {
	for _, p := range parts {
		if err := stream.Send(p); err != nil {
			return err
		}
	}
	return nil
}

// RoutingTable returns the newest routing table, or nil before there is one.
func (c *Controller) RoutingTable() *routing.Table { return c.tables.table() }
