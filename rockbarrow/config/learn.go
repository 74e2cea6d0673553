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

// pull fetches a version from one peer.
type pull struct {
	source   *Source
	instance string
	reply    *peerpb.PullReply
	wait     *sync.WaitGroup
}

// run asks the peer and brings what it has into force.
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
		s.confirmed.Store(time.Now().UnixNano())
	}
	switch h := s.current.Load(); {
	case reply.GetDocument() != nil:
		s.Update(reply.GetDocument(), reply.GetFoldedIndex())
	case reply.GetVersion() == h.snapshot.Version():
		// The same version folds a longer journal: a new leader's first entry.
		s.Update(h.snapshot.Document(), reply.GetFoldedIndex())
	}
}

// pullAny asks a control instance or a peer of the own domain, drawn at random.
func (s *Source) pullAny(context.Context) {
	var from []string
	for _, i := range s.View().Instances() {
		if i.Instance() != s.Instance && i.State() != roster.Dead && (i.Control() || i.Domain() == s.Domain) {
			from = append(from, i.Instance())
		}
	}
	if len(from) == 0 {
		s.confirmed.Store(time.Now().UnixNano())
		return
	}
	go (&pull{source: s, instance: from[rand.IntN(len(from))]}).run()
}

// learn asks all control instances and all of the own domain, and decides
// whether the newest version is known.
func (s *Source) learn(context.Context) {
	var wait sync.WaitGroup
	var asked []*pull
	controls, domain := 0, 0
	for _, i := range s.View().Instances() {
		near := i.Domain() == s.Domain
		if near {
			domain++
		}
		if i.Control() {
			controls++
		}
		if i.Instance() == s.Instance || !near && !i.Control() {
			continue
		}
		p := &pull{source: s, instance: i.Instance(), wait: &wait}
		asked = append(asked, p)
		wait.Add(1)
		go p.run()
	}
	wait.Wait()
	s.judge(asked, controls, domain)
}

// judge takes the own word for the own vote on a control instance.
func (s *Source) judge(asked []*pull, controls, domain int) {
	votes, neighbours := 0, 0
	index, version := uint64(0), uint64(0)
	if s.isControl() {
		votes++
		index = s.voter.lastIndex()
	}
	for _, p := range asked {
		r := p.reply
		if r == nil {
			continue
		}
		if r.GetControl() {
			votes++
			index = max(index, r.GetControlIndex())
		}
		i, _ := s.View().Find(p.instance)
		if i.Domain() == s.Domain && r.GetLearned() {
			neighbours++
			version = max(version, r.GetVersion())
		}
	}
	h := s.current.Load()
	switch {
	case votes > controls/2:
		// Every accepted command is in the journal of one of these voters.
		if h.folded >= index && index > 0 {
			s.cutOff.Store(false)
			s.confirmed.Store(time.Now().UnixNano())
			s.learned.Store(true)
		}
	case neighbours > domain/2:
		if h.snapshot.Version() >= version {
			s.cutOff.Store(true)
			s.learned.Store(true)
		}
	}
	if s.learned.Load() {
		s.Log.WithField("version", h.snapshot.Version()).WithField("cut_off", s.ControlUnreachable()).Info("configuration learned")
	}
}
