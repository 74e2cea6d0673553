// SPDX-License-Identifier: MIT

package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
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

// UnavailableError reports that a command was certainly not accepted.
type UnavailableError struct {
	// Reason describes why.
	Reason string
}

func (e *UnavailableError) Error() string { return "control: unavailable: " + e.Reason }

// UndeterminedError reports that a command may or may not be accepted.
type UndeterminedError struct {
	// CommandID is the id under which to resend the command.
	CommandID string
}

func (e *UndeterminedError) Error() string {
	return fmt.Sprintf("control: the outcome of command %q is undetermined; resend it under the same id", e.CommandID)
}

// Journal passes a message of the leader to the local replica of the control
// journal.
func (s *Source) Journal(to journal.Member, m journal.Message) journal.Reply {
	if !to.Is(s.self()) {
		return journal.NonVoting{}
	}
	return s.voter.handleMessage(m)
}

// tickLeader ticks the leader, or starts a campaign if no leader is alive and
// this is the first live control instance.
func (s *Source) tickLeader(now time.Time) {
	if s.hasLeader() {
		s.mailbox.Post(control.Tick{})
		s.replaceRestartedVoter()
		return
	}
	if now.Before(s.nextCampaign) || !s.isFirstControl() {
		return
	}
	// The initial set of voters requires that all of them are known.
	if s.voter.lastIndex() == 0 && !s.allVotersKnown() {
		return
	}
	if b := s.voter.promised(); b.Instance() != "" && s.View().IsWriterAlive(b) {
		return
	}
	s.nextCampaign = now.Add(campaignBackoff + time.Duration(rand.Int64N(int64(campaignBackoff))))
	s.voter.mu.Lock()
	l := &control.Leader{
		Self:           s.self(),
		Incarnation:    s.Incarnation,
		Voters:         s.voters(),
		Replica:        s.voter.replica,
		FailureDomains: s.FailureDomains,
	}
	s.voter.mu.Unlock()
	s.leaderMu.Lock()
	s.leader = l
	s.leaderMu.Unlock()
	s.Log.Info("starting a campaign for the control journal")
	s.mailbox.Post(control.Campaign{Round: s.round.Add(1)})
}

func (s *Source) hasLeader() bool {
	s.leaderMu.Lock()
	defer s.leaderMu.Unlock()
	return s.leader != nil
}

// isFirstControl reports whether no earlier control instance is alive.
func (s *Source) isFirstControl() bool {
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

// step processes an event of the leader and performs the resulting actions.
func (s *Source) step(e control.Event) {
	s.leaderMu.Lock()
	l := s.leader
	if l == nil {
		s.leaderMu.Unlock()
		if a, ok := e.(control.CommandReceived); ok {
			s.respond(a.ID, nil)
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
	appliedIndex := l.AppliedIndex()
	doc, accepts := l.State().Document(), l.AcceptsCommands()
	s.leaderMu.Unlock()
	if accepts {
		// Changes of the voters advance the journal without a new version. Learning
		// instances wait until the last entry is applied.
		s.Update(doc, appliedIndex)
	}
	for _, a := range actions {
		s.perform(l, a, appliedIndex)
	}
}

func (s *Source) perform(l *control.Leader, a control.Action, appliedIndex uint64) {
	switch a := a.(type) {
	case control.Send:
		go (&delivery{source: s, to: a.To, message: a.Message}).run()
	case control.Respond:
		s.respond(a.ID, a.Outcome)
	case control.Publish:
		s.publish(a.Document, appliedIndex)
	case control.LeadershipLost:
		s.leaderMu.Lock()
		if s.leader == l {
			s.leader = nil
		}
		s.leaderMu.Unlock()
		for _, id := range a.Pending {
			s.respond(id, nil)
		}
		s.Log.WithField("by", a.By.String()).Info("another instance leads the control journal")
	}
}

// publish activates a version and pushes it to all other instances.
func (s *Source) publish(doc *configpb.Document, appliedIndex uint64) {
	s.Update(doc, appliedIndex)
	reply := &peerpb.PullReply{Version: doc.GetVersion(), Document: doc, FoldedIndex: appliedIndex}
	pushes := &sync.WaitGroup{}
	for _, i := range s.View().Instances() {
		if i.Instance() == s.Instance || i.State() == roster.Dead {
			continue
		}
		p := &push{source: s, instance: i.Instance(), reply: reply}
		if i.Control() {
			p.done = pushes
			pushes.Add(1)
		}
		go p.run()
	}
	s.leaderMu.Lock()
	s.propagation = pushes
	s.leaderMu.Unlock()
}

// awaitPropagation waits until the other control instances have the newest version that this one published, or propagationTimeout
// has passed. Otherwise a failure of this instance right after the reply would hide the version until the next one leads.
func (s *Source) awaitPropagation(ctx context.Context) {
	s.leaderMu.Lock()
	pushes := s.propagation
	s.leaderMu.Unlock()
	if pushes == nil {
		return
	}
	done := make(chan struct{})
	go (&propagationWait{pushes: pushes, done: done}).run()
	timeout := time.NewTimer(propagationTimeout)
	defer timeout.Stop()
	select {
	case <-done:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// propagationWait closes done once pushes have ended, each within callTimeout.
type propagationWait struct {
	pushes *sync.WaitGroup
	done   chan struct{}
}

func (w *propagationWait) run() {
	w.pushes.Wait()
	close(w.done)
}

// push sends a version to one peer. A lost push is made up for by the peer's
// next pull.
type push struct {
	source   *Source
	instance string
	reply    *peerpb.PullReply
	// done counts the pushes to control instances in progress; nil for other instances.
	done *sync.WaitGroup
}

func (p *push) run() {
	if p.done != nil {
		defer p.done.Done()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := p.source.Peers.Push(ctx, p.instance, p.reply); err != nil {
		p.source.Metrics.Counter("config_pushes_lost").Inc(1)
	}
}

// delivery sends a message of the leader to a voter.
type delivery struct {
	source  *Source
	to      journal.Member
	message journal.Message
}

func (d *delivery) run() {
	s := d.source
	if d.to.Is(s.self()) {
		reply := s.voter.handleMessage(d.message)
		if reply == nil {
			s.mailbox.Post(control.SendFailed{To: d.to})
			return
		}
		s.mailbox.Post(control.ReplyReceived{From: d.to, Reply: reply})
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	reply, err := s.Peers.Journal(ctx, JournalName, d.to, d.message)
	if err != nil || reply == nil {
		s.mailbox.Post(control.SendFailed{To: d.to})
		return
	}
	s.mailbox.Post(control.ReplyReceived{From: d.to, Reply: reply})
}

// Apply processes an operator's command, here or at the leader. It returns an
// [*UnavailableError] or an [*UndeterminedError] on failure.
func (s *Source) Apply(ctx context.Context, operator string, req *operatorpb.ApplyRequest) (*recordpb.ControlOutcome, error) {
	if s.acceptsCommands() {
		return s.applyLocally(ctx, operator, req)
	}
	b := s.voter.promised()
	var candidates []string
	if b.Instance() != "" && b.Instance() != s.Instance {
		candidates = append(candidates, b.Instance())
	}
	for _, i := range s.View().Instances() {
		if i.Control() && i.Instance() != s.Instance && i.Instance() != b.Instance() && i.State() != roster.Dead {
			candidates = append(candidates, i.Instance())
		}
	}
	sent := false
	for _, instance := range candidates {
		reply, err := s.Peers.Command(ctx, instance, &peerpb.CommandRequest{Apply: req, Operator: operator})
		if err == nil {
			return reply.GetOutcome(), nil
		}
		sent = sent || !isUnavailable(err)
	}
	if sent {
		return nil, &UndeterminedError{CommandID: req.GetCommandId()}
	}
	return nil, &UnavailableError{Reason: "no control instance leads, or too few voters reply"}
}

// ApplyForwarded processes a command that a peer forwarded. Only the leader
// accepts it.
func (s *Source) ApplyForwarded(ctx context.Context, req *peerpb.CommandRequest) (*recordpb.ControlOutcome, error) {
	if !s.acceptsCommands() {
		return nil, &UnavailableError{Reason: "this instance is not the control leader"}
	}
	return s.applyLocally(ctx, req.GetOperator(), req.GetApply())
}

// isUnavailable reports whether a peer certainly did not accept a command.
func isUnavailable(err error) bool {
	var u *UnavailableError
	return errors.As(err, &u)
}

func (s *Source) acceptsCommands() bool {
	s.leaderMu.Lock()
	defer s.leaderMu.Unlock()
	return s.leader != nil && s.leader.AcceptsCommands()
}

func (s *Source) applyLocally(ctx context.Context, operator string, req *operatorpb.ApplyRequest) (*recordpb.ControlOutcome, error) {
	id := control.RequestID(s.requests.Add(1))
	answer := make(chan *recordpb.ControlOutcome, 1)
	s.leaderMu.Lock()
	s.pending[id] = answer
	s.leaderMu.Unlock()
	s.mailbox.Post(control.CommandReceived{ID: id, Operator: operator, Request: req})
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	select {
	case out := <-answer:
		if out == nil {
			return nil, &UndeterminedError{CommandID: req.GetCommandId()}
		}
		s.awaitPropagation(ctx)
		return out, nil
	case <-ctx.Done():
		s.respond(id, nil)
		return nil, &UndeterminedError{CommandID: req.GetCommandId()}
	}
}

func (s *Source) respond(id control.RequestID, out *recordpb.ControlOutcome) {
	s.leaderMu.Lock()
	c := s.pending[id]
	delete(s.pending, id)
	s.leaderMu.Unlock()
	if c != nil {
		c <- out
	}
}

// Audit returns the audit trail, which is complete only at the leader.
func (s *Source) Audit() ([]*recordpb.AuditRecord, error) {
	s.leaderMu.Lock()
	defer s.leaderMu.Unlock()
	if s.leader == nil || !s.leader.AcceptsCommands() {
		return nil, &UnavailableError{Reason: "this instance is not the control leader"}
	}
	return append([]*recordpb.AuditRecord(nil), s.leader.State().Audit()...), nil
}

// Leader returns the name of the leader as known to this instance.
func (s *Source) Leader() string {
	if s.acceptsCommands() {
		return s.Instance
	}
	return s.voter.promised().Instance()
}
