// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// mayJoin reports whether this store is no member of the view and may become one, in place of a lost or leaving store.
func (s *Store) mayJoin() bool {
	state := s.Watch.State()
	v, name := state.GetView(), s.Self.GetInstance()
	return s.Learns && v != nil && !register.ContainsStorage(v.GetMembers(), s.Self.GetStorage()) &&
		!slices.Contains(v.GetLeaving(), name) && !slices.Contains(state.GetRetired(), name)
}

// learn copies, once for each view, the records of the groups that this store may join, so that little is left to copy
// once it is a member. It proves nothing: as a member the store asks a quorum of the sources for what it lacks.
func (c *copier) learn(ctx context.Context, v *fleetpb.View) {
	if c.learnedEpoch >= v.GetEpoch() {
		return
	}
	c.learnedEpoch = v.GetEpoch()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go (&viewGuard{store: c.store, epoch: v.GetEpoch(), cancel: cancel}).loop(ctx)
	s, start := c.store, time.Now()
	request := func() *fleetpb.CopyRequest {
		held := s.heldPrograms(func(name string) bool { return ledger.MayJoin(v, s.Self, name) })
		return &fleetpb.CopyRequest{Epoch: v.GetEpoch(), View: v, Requester: s.Self, Held: held, Learner: true}
	}
	// As many ranks hold a record as there may be stores that are lost, and one more.
	ranks := ledger.WriteQuorum(min(int(v.GetCopies()), len(v.GetMembers())))
	answers := make([]int, 0, ranks)
	for rank := range ranks {
		answers = append(answers, c.spread(ctx, v, v.GetMembers(), request(), rank))
	}
	s.Log.WithFields(logrus.Fields{
		"view": v.GetEpoch(), "copy_ms": time.Since(start).Milliseconds(), "sources_copied": answers, "sources_asked": len(v.GetMembers()),
	}).Info("records of groups that this store may join are copied")
}

// spread asks each source for the programs in whose group it has a rank, so that each record crosses one link. It returns once a
// read quorum of every group has answered, and how many have.
func (c *copier) spread(ctx context.Context, v *fleetpb.View, sources []*fleetpb.Member, req *fleetpb.CopyRequest, rank int) (copied int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req.Spread, req.Rank = true, uint32(rank)
	results := c.transfer(ctx, sources, req)
	answered := map[uint64]bool{}
	for range sources {
		r := <-results
		if r.err != nil {
			continue
		}
		copied++
		answered[r.storage] = true
		if ledger.SourcesSufficient(v, func(storage uint64) bool { return answered[storage] || storage == c.store.Self.GetStorage() }) {
			break
		}
	}
	return copied
}

// transfer copies from all sources at a time.
func (c *copier) transfer(ctx context.Context, sources []*fleetpb.Member, req *fleetpb.CopyRequest) <-chan transferResult {
	results := make(chan transferResult, len(sources))
	for _, m := range sources {
		r := proto.CloneOf(req)
		r.Storage = m.GetStorage()
		go (&transfer{store: c.store, from: m, results: results}).run(ctx, r)
	}
	return results
}

// isWanted reports whether a program's records are among those that a request is for.
func isWanted(req *fleetpb.CopyRequest, name string) bool {
	if req.GetSpread() && !ledger.HasRank(req.GetView(), req.GetStorage(), name, int(req.GetRank())) {
		return false
	}
	if req.GetLearner() {
		return ledger.MayJoin(req.GetView(), req.GetRequester(), name)
	}
	return ledger.MustCopy(req.GetView(), req.GetRequester().GetStorage(), name, req.GetAll())
}

// heldPrograms returns the digests of the programs for which wanted holds, and extends the life of their records as a copy would.
func (s *Store) heldPrograms(wanted func(name string) bool) *fleetpb.HeldPrograms {
	out, now := &fleetpb.HeldPrograms{}, time.Now()
	for _, name := range s.programNames() {
		if !wanted(name) {
			continue
		}
		s.mu.Lock()
		s.state.Touch(now, name)
		digest := s.state.Digest(name)
		s.mu.Unlock()
		out.Programs, out.Digests = append(out.Programs, ledger.ProgramHash(name)), append(out.Digests, digest)
	}
	return out
}

// digestsOf returns the digests by program. Lists of different lengths, which no store sends, hold nothing.
func digestsOf(held *fleetpb.HeldPrograms) map[uint64]uint64 {
	if len(held.GetPrograms()) != len(held.GetDigests()) {
		return nil
	}
	out := make(map[uint64]uint64, len(held.GetPrograms()))
	for i, k := range held.GetPrograms() {
		out[k] = held.GetDigests()[i]
	}
	return out
}
