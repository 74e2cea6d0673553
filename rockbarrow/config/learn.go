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
	reply    *peerpb.PullReply
	wait     *sync.WaitGroup
}

// run sends the request and activates the returned version if it is newer.
func (p *pull) run() {
	if p.wait != nil {
		defer p.wait.Done()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	s := p.source
	reply, err := s.Peers.Pull(ctx, p.instance, s.Snapshot().Version())
	if err != nil {
		return
	}
	p.reply = reply
	if reply.GetControl() && reply.GetLearned() {
		s.confirmedAt.Store(time.Now().UnixNano())
	}
	switch current := s.current.Load(); {
	case reply.GetDocument() != nil:
		s.Update(reply.GetDocument(), reply.GetFoldedIndex())
	case reply.GetVersion() == current.snapshot.Version():
		// The version is unchanged but the journal is longer, as after the first entry
		// of a new leader.
		s.Update(current.snapshot.Document(), reply.GetFoldedIndex())
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
		s.confirmedAt.Store(time.Now().UnixNano())
		return
	}
	go (&pull{source: s, instance: candidates[rand.IntN(len(candidates))]}).run()
}

// learn pulls from all control instances and all peers of the own failure
// domain, and decides whether the latest version is known.
func (s *Source) learn(context.Context) {
	var wait sync.WaitGroup
	var pulls []*pull
	controlSize, domainSize := 0, 0
	for _, i := range s.View().Instances() {
		sameDomain := i.Domain() == s.Domain
		if sameDomain {
			domainSize++
		}
		if i.Control() {
			controlSize++
		}
		if i.Instance() == s.Instance || !sameDomain && !i.Control() {
			continue
		}
		p := &pull{source: s, instance: i.Instance(), wait: &wait}
		pulls = append(pulls, p)
		wait.Add(1)
		go p.run()
	}
	wait.Wait()
	s.evaluateReplies(pulls, controlSize, domainSize)
}

// evaluateReplies sets learned if a majority of the control instances,
// including this one, or of the own failure domain has replied and none of
// them knows a newer state.
func (s *Source) evaluateReplies(pulls []*pull, controlSize, domainSize int) {
	controlVotes, domainVotes := 0, 0
	index, version := uint64(0), uint64(0)
	if s.isControl() {
		controlVotes++
		index = s.voter.lastIndex()
	}
	for _, p := range pulls {
		r := p.reply
		if r == nil {
			continue
		}
		if r.GetControl() {
			controlVotes++
			index = max(index, r.GetControlIndex())
		}
		i, _ := s.View().Find(p.instance)
		if i.Domain() == s.Domain && r.GetLearned() {
			domainVotes++
			version = max(version, r.GetVersion())
		}
	}
	current := s.current.Load()
	switch {
	case controlVotes > controlSize/2:
		// A majority of the voters includes one whose journal has every accepted
		// command.
		if current.appliedIndex >= index && index > 0 {
			s.controlUnreachable.Store(false)
			s.confirmedAt.Store(time.Now().UnixNano())
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
