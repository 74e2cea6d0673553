// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/peerpb"
)

// pull requests the version of one peer.
type pull struct {
	source   *Source
	instance string
	// start is when the request was sent.
	start time.Time
	reply *peerpb.PullReply
}

// run sends the request and activates the returned version if it is newer.
func (p *pull) run() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s := p.source
	p.start = time.Now()
	reply, err := s.Peers.Pull(ctx, p.instance, s.Snapshot().Version())
	if err != nil {
		return
	}
	p.reply = reply
	switch current := s.current.Load(); {
	case reply.GetDocument() != nil:
		s.Update(reply.GetDocument(), reply.GetFoldedIndex())
	case reply.GetVersion() == current.snapshot.Version():
		// The version is unchanged but the journal is longer, as after the first entry
		// of a new leader.
		s.Update(current.snapshot.Document(), reply.GetFoldedIndex())
	}
	if reply.ConfirmedAgeMs != nil {
		// The version is now at least the peer's.
		s.confirm(p.start.Add(-time.Duration(reply.GetConfirmedAgeMs()) * time.Millisecond))
	}
}

// confirm records that the active version was the newest at a time.
func (s *Source) confirm(at time.Time) {
	for {
		old := s.confirmedAt.Load()
		if at.UnixNano() <= old || s.confirmedAt.CompareAndSwap(old, at.UnixNano()) {
			return
		}
	}
}

// pullFromRandomPeer pulls from a random control instance or peer of the own
// failure domain.
func (s *Source) pullFromRandomPeer(context.Context) {
	var candidates []string
	for _, i := range s.View().Instances() {
		if i.Instance() != s.Instance && i.State() != roster.Dead && (i.Control() || i.Domain() == s.Domain) {
			candidates = append(candidates, i.Instance())
		}
	}
	if len(candidates) == 0 {
		return
	}
	go (&pull{source: s, instance: candidates[rand.IntN(len(candidates))]}).run()
}

// refresh pulls from a peer, or on a control instance from all others, whose majority confirms the version.
func (s *Source) refresh(ctx context.Context) {
	if s.isControl() {
		go s.pullFromControl()
		return
	}
	s.pullFromRandomPeer(ctx)
}

// pullFromControl pulls from all other control instances.
func (s *Source) pullFromControl() {
	start := time.Now()
	var control []string
	for _, i := range s.View().Instances() {
		if i.Control() {
			control = append(control, i.Instance())
		}
	}
	pulls, size := s.pullFrom(control), len(control)
	if votes, index := s.controlVotes(pulls); votes > size/2 && s.appliedAll(index) {
		s.confirm(start)
	}
}

// pullFrom pulls from some instances without this one, and returns once all have replied or failed.
func (s *Source) pullFrom(instances []string) []*pull {
	var wait sync.WaitGroup
	var pulls []*pull
	for _, i := range instances {
		if i != s.Instance {
			pulls = append(pulls, &pull{source: s, instance: i})
		}
	}
	for _, p := range pulls {
		wait.Go(p.run)
	}
	wait.Wait()
	return pulls
}

// controlVotes returns the number of control instances that replied, including this one, and their newest journal index.
func (s *Source) controlVotes(pulls []*pull) (votes int, index uint64) {
	if s.isControl() {
		votes, index = 1, s.voter.lastIndex()
	}
	for _, p := range pulls {
		if p.reply.GetControl() {
			votes++
			index = max(index, p.reply.GetControlIndex())
		}
	}
	return votes, index
}

// appliedAll reports whether the active version contains the control journal up to an index. A majority of the voters includes one whose
// journal has every accepted command.
func (s *Source) appliedAll(index uint64) bool {
	return index > 0 && s.current.Load().appliedIndex >= index
}

// learn pulls from all control instances and all peers of the own failure
// domain, and decides whether the latest version is known.
func (s *Source) learn(context.Context) {
	start := time.Now()
	var instances []string
	controlSize, domainSize := 0, 0
	for _, i := range s.View().Instances() {
		sameDomain := i.Domain() == s.Domain
		if sameDomain {
			domainSize++
		}
		if i.Control() {
			controlSize++
		}
		if sameDomain || i.Control() {
			instances = append(instances, i.Instance())
		}
	}
	s.evaluateReplies(start, s.pullFrom(instances), controlSize, domainSize)
}

// evaluateReplies sets learned if a majority of the control instances,
// including this one, or of the own failure domain has replied and none of
// them knows a newer state. The requests were sent from start on.
func (s *Source) evaluateReplies(start time.Time, pulls []*pull, controlSize, domainSize int) {
	domainVotes, version := 0, uint64(0)
	for _, p := range pulls {
		r := p.reply
		if r == nil {
			continue
		}
		i, _ := s.View().Find(p.instance)
		if i.Domain() == s.Domain && r.GetLearned() {
			domainVotes++
			version = max(version, r.GetVersion())
		}
	}
	controlVotes, index := s.controlVotes(pulls)
	current := s.current.Load()
	switch {
	case controlVotes > controlSize/2:
		if s.appliedAll(index) {
			s.controlUnreachable.Store(false)
			s.confirm(start)
			s.learned.Store(true)
		}
	case domainVotes > domainSize/2:
		if current.snapshot.Version() >= version {
			s.controlUnreachable.Store(true)
			s.learned.Store(true)
		}
	}
	if s.learned.Load() {
		s.Log.WithField("version", current.snapshot.Version()).WithField("cut_off", s.ControlUnreachable()).Info("configuration learned")
	}
}
