// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/operatorpb"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// UnavailableError says that a command was certainly not accepted.
type UnavailableError struct {
	// Reason tells why.
	Reason string
}

// Error describes the reason.
func (e *UnavailableError) Error() string { return "control: unavailable: " + e.Reason }

// UndeterminedError says that a command may or may not come to be accepted.
type UndeterminedError struct {
	// CommandID is the id to resend under.
	CommandID string
}

// Error tells what to do.
func (e *UndeterminedError) Error() string {
	return fmt.Sprintf("control: the outcome of command %q is undetermined; resend it under the same id", e.CommandID)
}

// Journal hands a leader's message to the own copy of the control journal.
func (s *Source) Journal(to journal.Member, m journal.Message) journal.Reply {
	if !to.Is(s.self()) {
		return journal.NonVoting{}
	}
	return s.voter.message(m)
}

// lead ticks the leader, or campaigns when the leader is dead and this is the
// first control instance that lives.
func (s *Source) lead(now time.Time) {
	if s.leading() {
		s.box.Post(control.Tick{})
		s.reseat()
		return
	}
	if now.Before(s.next) || !s.first() {
		return
	}
	// The first set of voters is formed once all are known, never by a part.
	if s.voter.lastIndex() == 0 && !s.allHeard() {
		return
	}
	if b := s.voter.promised(); b.Instance() != "" && s.View().IsWriterAlive(b) {
		return
	}
	s.next = now.Add(campaignPause + time.Duration(rand.Int64N(int64(campaignPause))))
	s.voter.mu.Lock()
	l := &control.Leader{
		Self:           s.self(),
		Incarnation:    s.Incarnation,
		Voters:         s.voters(),
		Replica:        s.voter.replica,
		FailureDomains: s.FailureDomains,
	}
	s.voter.mu.Unlock()
	s.leadMu.Lock()
	s.leader = l
	s.leadMu.Unlock()
	s.Log.Info("campaigning for the control journal")
	s.box.Post(control.Campaign{Round: s.rounds.Add(1)})
}

func (s *Source) leading() bool {
	s.leadMu.Lock()
	defer s.leadMu.Unlock()
	return s.leader != nil
}

// first reports whether no control instance before this one lives.
func (s *Source) first() bool {
	for _, i := range s.View().Instances() {
		if i.Instance() == s.Instance {
			return true
		}
		if i.Control() && i.State() != roster.Dead {
			return false
		}
	}
	return false
}

// step handles one event of the leader.
func (s *Source) step(e control.Event) {
	s.leadMu.Lock()
	l := s.leader
	if l == nil {
		s.leadMu.Unlock()
		if a, ok := e.(control.CommandReceived); ok {
			s.answer(a.ID, nil)
		}
		return
	}
	if _, ok := e.(control.Campaign); ok {
		s.voter.mu.Lock()
	}
	actions := l.Handle(time.Now(), e)
	if _, ok := e.(control.Campaign); ok {
		s.voter.mu.Unlock()
	}
	folded := l.AppliedIndex()
	doc, serves := l.State().Document(), l.AcceptsCommands()
	s.leadMu.Unlock()
	if serves {
		// Changes of the voters fold entries too, without a new version; those who
		// learn wait for the newest entry.
		s.Update(doc, folded)
	}
	for _, a := range actions {
		s.perform(l, a, folded)
	}
}

func (s *Source) perform(l *control.Leader, a control.Action, folded uint64) {
	switch a := a.(type) {
	case control.Send:
		go (&delivery{source: s, to: a.To, message: a.Message}).run()
	case control.Respond:
		s.answer(a.ID, a.Outcome)
	case control.Publish:
		s.publish(a.Document, folded)
	case control.LeadershipLost:
		s.leadMu.Lock()
		if s.leader == l {
			s.leader = nil
		}
		s.leadMu.Unlock()
		for _, id := range a.Pending {
			s.answer(id, nil)
		}
		s.Log.WithField("by", a.By.String()).Info("another instance leads the control journal")
	}
}

// publish brings a version into force here and pushes it to all others.
func (s *Source) publish(doc *configpb.Document, folded uint64) {
	s.Update(doc, folded)
	offer := &peerpb.PullReply{Version: doc.GetVersion(), Document: doc, FoldedIndex: folded}
	for _, i := range s.View().Instances() {
		if i.Instance() != s.Instance && i.State() != roster.Dead {
			go (&push{source: s, instance: i.Instance(), offer: offer}).run()
		}
	}
}

// push offers a version to one peer; pulls make up for one that is lost.
type push struct {
	source   *Source
	instance string
	offer    *peerpb.PullReply
}

func (p *push) run() {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := p.source.Peers.Push(ctx, p.instance, p.offer); err != nil {
		p.source.Metrics.Counter("config_pushes_lost").Inc(1)
	}
}

// delivery carries a message of the leader to a voter.
type delivery struct {
	source  *Source
	to      journal.Member
	message journal.Message
}

func (d *delivery) run() {
	s := d.source
	if d.to.Is(s.self()) {
		reply := s.voter.message(d.message)
		if reply == nil {
			s.box.Post(control.SendFailed{To: d.to})
			return
		}
		s.box.Post(control.ReplyReceived{From: d.to, Reply: reply})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := s.Peers.Journal(ctx, JournalName, d.to, d.message)
	if err != nil || reply == nil {
		s.box.Post(control.SendFailed{To: d.to})
		return
	}
	s.box.Post(control.ReplyReceived{From: d.to, Reply: reply})
}

// Apply decides an operator's command, here or at the leader. Errors are an
// [*UnavailableError] or an [*UndeterminedError].
func (s *Source) Apply(ctx context.Context, operator string, req *operatorpb.ApplyRequest) (*recordpb.ControlOutcome, error) {
	if s.serves() {
		return s.decide(ctx, operator, req)
	}
	b := s.voter.promised()
	var tried []string
	if b.Instance() != "" && b.Instance() != s.Instance {
		tried = append(tried, b.Instance())
	}
	for _, i := range s.View().Instances() {
		if i.Control() && i.Instance() != s.Instance && i.Instance() != b.Instance() && i.State() != roster.Dead {
			tried = append(tried, i.Instance())
		}
	}
	sent := false
	for _, instance := range tried {
		reply, err := s.Peers.Command(ctx, instance, &peerpb.CommandRequest{Apply: req, Operator: operator})
		if err == nil {
			return reply.GetOutcome(), nil
		}
		sent = sent || !isUnavailable(err)
	}
	if sent {
		return nil, &UndeterminedError{CommandID: req.GetCommandId()}
	}
	return nil, &UnavailableError{Reason: "no control instance leads; too few voters answer"}
}

// ApplyForwarded processes a command that a peer forwarded. Only the leader
// accepts it.
func (s *Source) ApplyForwarded(ctx context.Context, req *peerpb.CommandRequest) (*recordpb.ControlOutcome, error) {
	if !s.serves() {
		return nil, &UnavailableError{Reason: "this instance does not lead"}
	}
	return s.decide(ctx, req.GetOperator(), req.GetApply())
}

// isUnavailable reports whether a peer certainly did not take a command.
func isUnavailable(err error) bool {
	var u *UnavailableError
	return errors.As(err, &u)
}

func (s *Source) serves() bool {
	s.leadMu.Lock()
	defer s.leadMu.Unlock()
	return s.leader != nil && s.leader.AcceptsCommands()
}

func (s *Source) decide(ctx context.Context, operator string, req *operatorpb.ApplyRequest) (*recordpb.ControlOutcome, error) {
	id := control.RequestID(s.commands.Add(1))
	answer := make(chan *recordpb.ControlOutcome, 1)
	s.leadMu.Lock()
	s.waiting[id] = answer
	s.leadMu.Unlock()
	s.box.Post(control.CommandReceived{ID: id, Operator: operator, Request: req})
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	select {
	case out := <-answer:
		if out == nil {
			return nil, &UndeterminedError{CommandID: req.GetCommandId()}
		}
		return out, nil
	case <-ctx.Done():
		s.answer(id, nil)
		return nil, &UndeterminedError{CommandID: req.GetCommandId()}
	}
}

func (s *Source) answer(id control.RequestID, out *recordpb.ControlOutcome) {
	s.leadMu.Lock()
	c := s.waiting[id]
	delete(s.waiting, id)
	s.leadMu.Unlock()
	if c != nil {
		c <- out
	}
}

// Audit returns the audit trail; only the leader has all of it.
func (s *Source) Audit() ([]*recordpb.AuditRecord, error) {
	s.leadMu.Lock()
	defer s.leadMu.Unlock()
	if s.leader == nil || !s.leader.AcceptsCommands() {
		return nil, &UnavailableError{Reason: "this instance does not lead"}
	}
	return append([]*recordpb.AuditRecord(nil), s.leader.State().Audit()...), nil
}

// Leader returns the instance that leads as far as this one knows.
func (s *Source) Leader() string {
	if s.serves() {
		return s.Instance
	}
	return s.voter.promised().Instance()
}
