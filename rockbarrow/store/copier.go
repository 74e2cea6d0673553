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
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// copyWithin bounds one attempt to copy; a failed one starts again. What a
	// store of today holds (some 10 MB) takes a few hundred milliseconds.
	copyWithin = 3 * time.Second
	// copyPause lies between attempts.
	copyPause = 200 * time.Millisecond
	// batchBytes is the size of one message of a copy.
	batchBytes = 128 << 10
)

// copier brings this store's records up to each new view.
type copier struct {
	store *Store
	// copied are the stores whose records are here, for the view of epoch: a try that
	// fails at one store does not ask the others again.
	copied map[uint64]bool
	epoch  uint64
}

func (c *copier) loop(ctx context.Context) {
	retry := time.NewTicker(copyPause)
	defer retry.Stop()
	for {
		select {
		case <-c.store.changed:
		case <-retry.C:
		case <-ctx.Done():
			return
		}
		c.catchUp(ctx, c.store.Watch.State().GetView())
	}
}

// catchUp makes the store whole for a view, if it is a member.
func (c *copier) catchUp(ctx context.Context, v *fleetpb.View) {
	s := c.store
	if v == nil || s.whole.Load() >= v.GetEpoch() || !register.ContainsStorage(v.GetMembers(), s.Self.GetStorage()) {
		return
	}
	start := time.Now()
	err := c.bring(ctx, v)
	if err != nil {
		s.Log.WithError(err).WithField("view", v.GetEpoch()).Warn("records are not all here yet")
		return
	}
	s.Log.WithFields(logrus.Fields{"view": v.GetEpoch(), "copy_ms": time.Since(start).Milliseconds()}).
		Info("all records of the own groups are here")
}

// bring raises the fence, copies what is missing and remembers that it is here.
func (c *copier) bring(ctx context.Context, v *fleetpb.View) error {
	ctx, cancel := context.WithTimeout(ctx, copyWithin)
	defer cancel()
	s := c.store
	if err := s.raise(ctx, v.GetEpoch()); err != nil {
		return err
	}
	if !c.hasAll(v) {
		if err := c.copyAll(ctx, v); err != nil {
			return err
		}
	}
	s.whole.Store(v.GetEpoch())
	return s.append(ctx, []*fleetpb.Record{{Kind: &fleetpb.Record_WholeEpoch{WholeEpoch: v.GetEpoch()}}})
}

// hasAll reports whether there is nothing to copy: the first view has no records
// before it, and a store that copied during a move has all when the move ends.
func (c *copier) hasAll(v *fleetpb.View) bool {
	return v.GetEpoch() == 1 || c.follows(v) && len(v.GetPrior()) == 0
}

// follows reports whether the view comes right after one that was whole here. A
// move that was missed may have brought groups that the store never copied.
func (c *copier) follows(v *fleetpb.View) bool {
	whole := c.store.whole.Load()
	return whole > 0 && whole+1 == v.GetEpoch()
}

// copyAll copies from members that count until they cover all groups; a few may be
// missing.
func (c *copier) copyAll(ctx context.Context, v *fleetpb.View) error {
	s := c.store
	all := !c.follows(v)
	if c.epoch != v.GetEpoch() {
		c.epoch, c.copied = v.GetEpoch(), map[uint64]bool{}
	}
	covered := func() bool {
		return ledger.SourcesSufficient(v, func(storage uint64) bool {
			// What this store missed itself it has only from others.
			return c.copied[storage] || storage == s.Self.GetStorage() && !all
		})
	}
	from := c.left(ledger.CopySources(v, s.Self.GetStorage()))
	results := make(chan transferred, len(from))
	for _, m := range from {
		go (&transfer{store: s, from: m, results: results}).run(ctx, &fleetpb.CopyRequest{
			Epoch: v.GetEpoch(), Storage: m.GetStorage(), View: v, Requester: s.Self, All: all,
		})
	}
	failed := errors.New("store: nobody to copy from")
	for range from {
		if covered() {
			return nil
		}
		r := <-results
		if r.err != nil {
			failed = r.err
			continue
		}
		c.copied[r.storage] = true
	}
	if covered() {
		return nil
	}
	return errors.Wrapf(failed, "store: %d copies came and do not cover all groups", len(c.copied))
}

// left returns the members whose records are not here yet.
func (c *copier) left(from []*fleetpb.Member) []*fleetpb.Member {
	return slices.DeleteFunc(from, func(m *fleetpb.Member) bool { return c.copied[m.GetStorage()] })
}

// transfer copies from one member.
type transfer struct {
	store   *Store
	from    *fleetpb.Member
	results chan<- transferred
}

// transferred is how the copy from a storage ended.
type transferred struct {
	storage uint64
	err     error
}

func (t *transfer) run(ctx context.Context, req *fleetpb.CopyRequest) {
	t.results <- transferred{storage: t.from.GetStorage(), err: t.copy(ctx, req)}
}

func (t *transfer) copy(ctx context.Context, req *fleetpb.CopyRequest) error {
	conn, err := t.store.Pool.Get(t.from.GetAddress())
	if err != nil {
		return err
	}
	stream, err := fleetpb.NewStoreClient(conn).Copy(ctx, req)
	if err != nil {
		return errors.Wrapf(err, "store: copy from %s", t.from.GetInstance())
	}
	for {
		reply, err := stream.Recv()
		if err != nil {
			return errors.Wrapf(err, "store: copy from %s", t.from.GetInstance())
		}
		if why := reply.GetStatus().GetRefused(); why != fleetpb.StoreStatus_REFUSED_NONE {
			return errors.Errorf("store: %s refused to copy: %v", t.from.GetInstance(), why)
		}
		if err := t.store.take(ctx, reply.GetRecords()); err != nil {
			return err
		}
		if reply.GetLast() {
			return nil
		}
	}
}

// take writes copied records that are new here and waits for the last.
func (s *Store) take(ctx context.Context, records []*fleetpb.Record) error {
	now := time.Now()
	var fresh []*fleetpb.Record
	s.mu.Lock()
	for _, r := range records {
		if s.book.Apply(now, r) {
			fresh = append(fresh, r)
		}
	}
	s.mu.Unlock()
	return s.append(ctx, fresh)
}

// Copy streams the records that a member of a new view needs. The fence comes
// first, so that nothing is written here under the old view afterwards.
func (s *Store) Copy(req *fleetpb.CopyRequest, stream fleetpb.Store_CopyServer) error {
	ctx := stream.Context()
	st, err := s.admit(ctx, req.GetEpoch(), req.GetStorage())
	if err != nil {
		return err
	}
	if st != nil {
		return stream.Send(&fleetpb.CopyReply{Status: st, Last: true})
	}
	// Records of a store that is not whole itself prove nothing to others, unless
	// it was whole under the view before this one.
	if !s.wasWhole(req.GetView()) {
		return stream.Send(&fleetpb.CopyReply{Status: s.refusal(fleetpb.StoreStatus_REFUSED_STALE_VIEW), Last: true})
	}
	var batch []*fleetpb.Record
	bytes := 0
	for _, name := range s.programs() {
		if !ledger.MustCopy(req.GetView(), req.GetRequester().GetStorage(), name, req.GetAll()) {
			continue
		}
		s.mu.Lock()
		records := s.book.Records(name)
		s.mu.Unlock()
		for _, r := range records {
			batch = append(batch, r)
			bytes += len(r.GetTurn().GetInput()) + len(r.GetTurn().GetOutput()) + 64
		}
		if bytes < batchBytes {
			continue
		}
		if err := stream.Send(&fleetpb.CopyReply{Status: s.status(), Records: batch}); err != nil {
			return err
		}
		batch, bytes = nil, 0
	}
	return stream.Send(&fleetpb.CopyReply{Status: s.status(), Records: batch, Last: true})
}

// wasWhole reports whether this store held all its records under the view before
// this one, or holds them under the view itself.
func (s *Store) wasWhole(v *fleetpb.View) bool { return s.whole.Load()+1 >= v.GetEpoch() }
