// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// copyTimeout is how long a source may send nothing, and how long a step that does not grow with the records may take.
	copyTimeout = 3 * time.Second
	// copyRetryInterval is the interval between attempts, and that at which an attempt looks for a newer view.
	copyRetryInterval = 200 * time.Millisecond
	// copyBatchBytes is the size at which a message of a copy is sent.
	copyBatchBytes = 128 << 10
)

// copier copies the records that this store needs under each new view.
type copier struct {
	store *Store
	// copiedFrom holds the stores whose records were copied for the view epoch, so
	// that a retry calls only the others, and false for those that were incomplete.
	copiedFrom map[uint64]bool
	epoch      uint64
	progress   copyProgress
	// learnedEpoch is the newest view whose records were copied while this store was no member.
	learnedEpoch uint64
}

func (c *copier) loop(ctx context.Context) {
	retry := time.NewTicker(copyRetryInterval)
	defer retry.Stop()
	for {
		select {
		case <-c.store.viewChanged:
		case <-retry.C:
		case <-ctx.Done():
			return
		}
		c.catchUp(ctx, c.store.Watch.State().GetView())
	}
}

// catchUp completes the store's records for a view if the store is a member of it.
func (c *copier) catchUp(ctx context.Context, v *fleetpb.View) {
	s := c.store
	if s.mayJoin() {
		c.learn(ctx, v)
		return
	}
	if v == nil || s.completeEpoch.Load() >= v.GetEpoch() || !register.ContainsStorage(v.GetMembers(), s.Self.GetStorage()) {
		return
	}
	start := time.Now()
	c.progress.begin(start, v.GetEpoch())
	err := c.complete(ctx, v)
	if err != nil {
		s.Log.WithError(err).WithFields(c.progress.fields(time.Now())).Warn("copying the records of the view failed, retrying")
		return
	}
	s.Log.WithFields(logrus.Fields{
		"view": v.GetEpoch(), "copy_ms": time.Since(start).Milliseconds(), "copying_ms": time.Since(c.progress.since).Milliseconds(), "attempt": c.progress.attempt,
	}).
		Info("all records of the view are copied")
}

// complete fences older views, copies the missing records and durably records
// that the store is complete for the view.
func (c *copier) complete(ctx context.Context, v *fleetpb.View) error {
	s := c.store
	if err := withCopyTimeout(ctx, func(ctx context.Context) error { return s.fence(ctx, v.GetEpoch()) }); err != nil {
		return err
	}
	if !c.nothingToCopy(v) {
		if err := c.copyWhileNewest(ctx, v); err != nil {
			return err
		}
	}
	if err := withCopyTimeout(ctx, s.appendRefused); err != nil {
		return err
	}
	s.copiedEpoch.Store(v.GetEpoch())
	whole := []*fleetpb.Record{{Kind: &fleetpb.Record_WholeEpoch{WholeEpoch: v.GetEpoch()}}}
	if err := withCopyTimeout(ctx, func(ctx context.Context) error { return s.append(ctx, whole) }); err != nil {
		return err
	}
	s.completeEpoch.Store(v.GetEpoch())
	return nil
}

func withCopyTimeout(ctx context.Context, f func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, copyTimeout)
	defer cancel()
	return f(ctx)
}

// copyWhileNewest copies for as long as no newer view is known.
func (c *copier) copyWhileNewest(ctx context.Context, v *fleetpb.View) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go (&viewGuard{store: c.store, epoch: v.GetEpoch(), cancel: cancel}).loop(ctx)
	return c.copyAll(ctx, v)
}

// viewGuard ends the copy for a view once a newer one is known.
type viewGuard struct {
	store  *Store
	epoch  uint64
	cancel context.CancelCauseFunc
}

func (g *viewGuard) loop(ctx context.Context) {
	for wait.For(ctx, copyRetryInterval) {
		if newest := g.store.Watch.State().GetView().GetEpoch(); newest > g.epoch {
			g.cancel(errors.Errorf("store: view %d is newer", newest))
		}
	}
}

// nothingToCopy reports whether the store has all records already: the first view
// has no earlier records, and when a view change ends its members have copied them.
func (c *copier) nothingToCopy(v *fleetpb.View) bool {
	return v.GetEpoch() == 1 || c.isComplete(v) && len(v.GetPrior()) == 0
}

// isComplete reports whether the store held all records of its groups right before v.
// If it missed a view change, it may lack groups that it was assigned then.
func (c *copier) isComplete(v *fleetpb.View) bool {
	completeEpoch := c.store.completeEpoch.Load()
	return completeEpoch > 0 && ledger.IsComplete(v, completeEpoch)
}

// copyAll copies from the source members until their records include a read
// quorum of every group; a few sources may be missing.
func (c *copier) copyAll(ctx context.Context, v *fleetpb.View) error {
	s := c.store
	complete := c.isComplete(v)
	if c.epoch != v.GetEpoch() {
		c.epoch, c.copiedFrom = v.GetEpoch(), map[uint64]bool{}
	}
	sufficient := func() bool {
		return ledger.SourcesSufficient(v, func(storage uint64) bool {
			// This store counts as a source only if it has not missed a view.
			return c.copiedFrom[storage] || storage == s.Self.GetStorage() && complete
		}) && ledger.AbandonedSufficient(v, func(storage uint64) bool {
			_, copied := c.copiedFrom[storage]
			return copied || storage == s.Self.GetStorage()
		})
	}
	sources := c.remaining(ledger.CopySources(v, s.Self.GetStorage()))
	wanted := func(name string) bool { return ledger.MustCopy(v, s.Self.GetStorage(), name, !complete) }
	request := func() *fleetpb.CopyRequest {
		return &fleetpb.CopyRequest{Epoch: v.GetEpoch(), View: v, Requester: s.Self, All: !complete, Held: s.heldPrograms(wanted)}
	}
	if len(c.copiedFrom) == 0 {
		c.spread(ctx, v, sources, request(), 0)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
	results := c.transfer(ctx, sources, request())
	c.progress.await(sources)
	lastErr := errors.New("store: no store to copy from")
	waiting := time.NewTicker(copyLogInterval)
	defer waiting.Stop()
	for received := 0; received < len(sources); {
		if sufficient() {
			return nil
		}
		var r transferResult
		select {
		case r = <-results:
			received++
		case <-waiting.C:
			s.Log.WithFields(c.progress.fields(time.Now())).Info("the records of the view are being copied")
			continue
		}
		if r.err != nil {
			lastErr = r.err
			c.progress.failed(r.storage, r.err)
			continue
		}
		// Only prior members count as complete sources.
		c.copiedFrom[r.storage] = ledger.IsComplete(v, r.completeEpoch) || !register.ContainsStorage(v.GetPrior(), r.storage)
		c.progress.copied(r.storage, c.copiedFrom[r.storage])
	}
	if sufficient() {
		return nil
	}
	return errors.Wrapf(lastErr, "store: copies from %d stores do not cover all groups", len(c.copiedFrom))
}

// remaining returns the members whose records were not copied yet.
func (c *copier) remaining(from []*fleetpb.Member) []*fleetpb.Member {
	return slices.DeleteFunc(from, func(m *fleetpb.Member) bool { return c.copiedFrom[m.GetStorage()] })
}

// transfer is a copy of the records of one member.
type transfer struct {
	store   *Store
	from    *fleetpb.Member
	results chan<- transferResult
}

// transferResult is the result of the copy from a storage.
type transferResult struct {
	storage uint64
	// completeEpoch is the newest view for which the source is complete.
	completeEpoch uint64
	err           error
}

func (t *transfer) run(ctx context.Context, req *fleetpb.CopyRequest) {
	epoch, err := t.copy(ctx, req)
	t.results <- transferResult{storage: t.from.GetStorage(), completeEpoch: epoch, err: err}
}

// copy returns the newest view for which the source was complete when it began to send.
func (t *transfer) copy(ctx context.Context, req *fleetpb.CopyRequest) (completeEpoch uint64, err error) {
	conn, err := t.store.Pool.Get(t.from.GetAddress())
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A copy is given up for want of progress: its length grows with the records.
	stalled := time.AfterFunc(copyTimeout, func() {
		cancel(errors.Errorf("store: copy from %s: nothing has come for %v", t.from.GetInstance(), copyTimeout))
	})
	defer stalled.Stop()
	stream, err := fleetpb.NewStoreClient(conn).Copy(ctx, req)
	if err != nil {
		return 0, errors.Wrapf(err, "store: copy from %s", t.from.GetInstance())
	}
	for first := true; ; first = false {
		reply, err := stream.Recv()
		if cause := context.Cause(ctx); err != nil && cause != nil {
			return 0, cause
		}
		if err != nil {
			return 0, errors.Wrapf(err, "store: copy from %s", t.from.GetInstance())
		}
		stalled.Stop()
		if refusal := reply.GetStatus().GetRefused(); refusal != fleetpb.StoreStatus_REFUSED_NONE {
			return 0, errors.Errorf("store: %s refused to copy: %v", t.from.GetInstance(), refusal)
		}
		if first {
			completeEpoch = reply.GetStatus().GetWholeEpoch()
		}
		if err := t.store.applyCopied(ctx, reply.GetRecords()); err != nil {
			return 0, err
		}
		if reply.GetLast() {
			return completeEpoch, nil
		}
		stalled.Reset(copyTimeout)
	}
}

// applyCopied applies copied records and returns once the new ones are synced.
func (s *Store) applyCopied(ctx context.Context, records []*fleetpb.Record) error {
	if err := s.checkRoom(); err != nil {
		return err
	}
	now := time.Now()
	var added []*fleetpb.Record
	s.mu.Lock()
	for _, r := range records {
		if s.state.Apply(now, r) {
			added = append(added, r)
		}
	}
	s.mu.Unlock()
	if err := s.appendRefused(ctx); err != nil {
		return err
	}
	return s.append(ctx, added)
}

// Copy streams the records that a member of a new view needs. Admitting the call
// fences the old view first, so that no record is written under it afterwards.
func (s *Store) Copy(req *fleetpb.CopyRequest, stream fleetpb.Store_CopyServer) error {
	ctx := stream.Context()
	st, err := s.admit(ctx, req.GetEpoch(), req.GetStorage())
	if err != nil {
		return err
	}
	if st != nil {
		return stream.Send(&fleetpb.CopyReply{Status: st, Last: true})
	}
	// An incomplete store must not serve as a source: the requester would take a
	// record that is missing here for one that was never written. It may for records of
	// an abandoned view change; the requester counts it for these only.
	if !req.GetLearner() && !s.canServeCopies(req.GetView()) && len(ledger.Attempts(req.GetView())) == 0 {
		return stream.Send(&fleetpb.CopyReply{Status: s.refuse(refusedIncomplete, req.GetEpoch()), Last: true})
	}
	before := s.status()
	var batch []*fleetpb.Record
	bytes := 0
	held := digestsOf(req.GetHeld())
	for _, name := range s.programNames() {
		if !isWanted(req, name) {
			continue
		}
		s.mu.Lock()
		digest, isHeld := held[ledger.ProgramHash(name)]
		isHeld = isHeld && digest == s.state.Digest(name)
		var records []*fleetpb.Record
		if !isHeld {
			records = s.state.Records(name)
		}
		s.mu.Unlock()
		for _, r := range records {
			batch = append(batch, r)
			bytes += len(r.GetTurn().GetInput()) + len(r.GetTurn().GetOutput()) + 64
		}
		if bytes < copyBatchBytes {
			continue
		}
		if err := stream.Send(&fleetpb.CopyReply{Status: before, Records: batch}); err != nil {
			return err
		}
		batch, bytes = nil, 0
	}
	return stream.Send(&fleetpb.CopyReply{Status: before, Records: batch, Last: true})
}

// canServeCopies reports whether this store holds all records of its groups from before
// a view.
func (s *Store) canServeCopies(v *fleetpb.View) bool {
	return ledger.IsComplete(v, s.completeEpoch.Load())
}
