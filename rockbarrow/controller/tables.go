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

// maxTableChanges is the number of table changes kept for instances that lag behind, enough for
// about ten seconds at three changes per second. A change of 1,400 routes takes some 14 KB.
const maxTableChanges = 32

// buildRetryInterval is the delay after a table could not be built.
const buildRetryInterval = time.Second

// tables builds the routing table of each new configuration on behalf of all entry instances, and
// keeps the changes between consecutive tables.
type tables struct {
	controller *Controller
	// wakeup has a capacity of one and signals that a newer state may be known.
	wakeup chan struct{}
	// failedVersion is the newest configuration version that could not be built, and retryAt when it is tried again. Only the
	// loop uses them.
	failedVersion uint64
	retryAt       time.Time

	mu     sync.Mutex
	newest *builtTable
	// changes lead up to the newest table; the base of each is the result of the previous one.
	changes []tableChange
	// updated is closed and replaced when a newer table is available.
	updated chan struct{}
}

// tableChange is a change in the form in which it is sent.
type tableChange struct {
	base  []byte
	parts []*fleetpb.TablePart
}

// builtTable is a table with its packed snapshot, for instances that hold no usable base.
type builtTable struct {
	*routing.Table
	packOnce sync.Once
	parts    []*fleetpb.TablePart
	err      error
}

func (t *tables) init(c *Controller) {
	t.controller, t.wakeup, t.updated = c, make(chan struct{}, 1), make(chan struct{})
}

// wake signals the loop that a newer state may be known. It never blocks.
func (t *tables) wake() {
	select {
	case t.wakeup <- struct{}{}:
	default:
	}
}

// loop builds tables until ctx is done. It runs separately so that a large configuration delays no
// other updates.
func (t *tables) loop(ctx context.Context) {
	var retry <-chan time.Time
	for {
		select {
		case <-t.wakeup:
		case <-retry:
		case <-ctx.Done():
			return
		}
		retry = nil
		if !t.update(time.Now(), t.controller.State().GetConfiguration()) {
			retry = time.After(buildRetryInterval)
		}
	}
}

// update builds the table of a configuration that is newer than the current table. It reports whether no such one is left.
func (t *tables) update(now time.Time, cfg *fleetpb.Configuration) bool {
	before := t.table()
	if cfg.GetVersion() <= before.Version() {
		return true
	}
	if cfg.GetVersion() == t.failedVersion && now.Before(t.retryAt) {
		return false
	}
	begun := time.Now()
	table, change, err := t.build(before, cfg)
	var parts []*fleetpb.TablePart
	if err == nil {
		parts, err = pack(change)
	}
	if err != nil {
		if t.failedVersion < cfg.GetVersion() {
			t.failedVersion = cfg.GetVersion()
			t.controller.Log.WithError(err).WithField("config_version", cfg.GetVersion()).Error("failed to build the routing table of a configuration, will retry")
		}
		t.retryAt = now.Add(buildRetryInterval)
		return false
	}
	t.mu.Lock()
	t.newest = &builtTable{Table: table}
	t.changes = append(t.changes, tableChange{base: change.GetBase(), parts: parts})
	t.changes = slices.Delete(t.changes, 0, max(0, len(t.changes)-maxTableChanges))
	close(t.updated)
	t.updated = make(chan struct{})
	t.mu.Unlock()
	t.controller.Log.WithFields(logrus.Fields{
		"config_version": table.Version(), "table": table.ShortDigest(), "routes": table.RouteCount(), "changed": len(change.GetRoutes()) + len(change.GetRemovedRoutes()),
		"took_ms": time.Since(begun).Milliseconds(),
	}).Info("the routing table of a configuration is made")
	return true
}

// validate builds the table of a configuration that is not accepted yet, from what would be stored.
func (t *tables) validate(cfg *fleetpb.Configuration) (*routing.Table, error) {
	table, _, err := t.build(t.table(), cfg)
	return table, err
}

func (t *tables) build(before *routing.Table, cfg *fleetpb.Configuration) (*routing.Table, *fleetpb.TableChange, error) {
	d, err := document.Decoded(cfg, t.controller.Decode)
	if err != nil {
		return nil, nil, err
	}
	return before.ApplyDocument(d)
}

// table returns the newest table, or nil.
func (t *tables) table() *routing.Table {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest == nil {
		return nil
	}
	return t.newest.Table
}

// since returns the parts that turn the table with the given digest into the newest one. If no
// table of the given version exists yet, it returns a channel that is closed when a newer table is
// available.
func (t *tables) since(held []byte, version uint64) (parts []*fleetpb.TablePart, wait <-chan struct{}, err error) {
	t.mu.Lock()
	newest, updated := t.newest, t.updated
	at := slices.IndexFunc(t.changes, func(c tableChange) bool { return bytes.Equal(c.base, held) })
	changes := slices.Clone(t.changes[max(0, at):])
	t.mu.Unlock()
	switch {
	case newest == nil || newest.Version() < version:
		return nil, updated, nil
	case bytes.Equal(newest.Digest(), held):
		return nil, nil, nil
	case at < 0 || len(held) == 0:
		parts, err = newest.snapshot()
		return parts, nil, err
	}
	for _, c := range changes {
		parts = append(parts, c.parts...)
	}
	return parts, nil, nil
}

// snapshot returns the parts of the whole table.
func (m *builtTable) snapshot() ([]*fleetpb.TablePart, error) {
	m.packOnce.Do(func() {
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

// Table streams the parts that the caller needs to update its routing table.
func (c *Controller) Table(req *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
	if c.Decode == nil {
		return status.Error(codes.Unimplemented, "controller: this instance builds no routing tables")
	}
	for {
		parts, wait, err := c.tables.since(req.GetHeld(), req.GetVersion())
		if err != nil {
			return err
		}
		if wait == nil {
			return sendParts(stream, parts)
		}
		select {
		case <-wait:
		case <-c.stopping:
			return status.Error(codes.Unavailable, "controller: the instance stops")
		case <-stream.Context().Done():
			return stream.Context().Err()
		}
	}
}

func sendParts(stream grpc.ServerStreamingServer[fleetpb.TablePart], parts []*fleetpb.TablePart) error {
	for _, p := range parts {
		if err := stream.Send(p); err != nil {
			return err
		}
	}
	return nil
}

// RoutingTable returns the newest routing table, or nil.
func (c *Controller) RoutingTable() *routing.Table { return c.tables.table() }
