// SPDX-License-Identifier: MIT

package control

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// maxOutcomes bounds the stored outcomes, and so how late a resend may come:
	// two months at 460 commands a day.
	maxOutcomes = 32_768
	// maxAudit bounds the lines of the audit trail that are kept.
	maxAudit = 65_536
)

// State is the fold of the control journal. The zero value is the empty
// document.
type State struct {
	doc      *configpb.Document
	outcomes []*recordpb.ControlOutcome
	byID     map[string]*recordpb.ControlOutcome
	audit    []*recordpb.AuditRecord
}

// Document returns the newest accepted version; it must not be changed.
func (s *State) Document() *configpb.Document {
	if s.doc == nil {
		return &configpb.Document{}
	}
	return s.doc
}

// Outcome returns what a command came to, or nil.
func (s *State) Outcome(commandID string) *recordpb.ControlOutcome { return s.byID[commandID] }

// Audit returns the kept audit trail, oldest first.
func (s *State) Audit() []*recordpb.AuditRecord { return s.audit }

// Evaluate gives a command its outcome under the present state. It changes
// nothing.
func (s *State) Evaluate(id string, expected uint64, c *configpb.Command, places []FailureDomain) *recordpb.ControlOutcome {
	digest := CommandDigest(c)
	if old := s.byID[id]; old != nil {
		if string(old.GetCommandDigest()) == string(digest) {
			return old
		}
		return &recordpb.ControlOutcome{CommandId: id, Version: s.Document().GetVersion(), Result: recordpb.ControlOutcome_RESULT_REUSED_ID}
	}
	out := &recordpb.ControlOutcome{CommandId: id, CommandDigest: digest, Version: s.Document().GetVersion()}
	if expected != 0 && expected != out.GetVersion() {
		out.Result = recordpb.ControlOutcome_RESULT_CONFLICT
		out.Winner = s.winner(expected + 1)
		return out
	}
	next, missing := ApplyCommand(s.Document(), c)
	for _, name := range missing {
		out.Violations = append(out.Violations, &recordpb.Violation{Field: "remove[" + name + "]", Description: "no such object"})
	}
	if len(c.GetChanges()) == 0 {
		out.Violations = append(out.Violations, &recordpb.Violation{Field: "changes", Description: "must hold at least one change"})
	}
	out.Violations = append(out.Violations, Validate(next, places)...)
	if len(out.GetViolations()) > 0 {
		out.Result = recordpb.ControlOutcome_RESULT_INVALID
		return out
	}
	out.Result = recordpb.ControlOutcome_RESULT_ACCEPTED
	out.Version = next.GetVersion()
	return out
}

// winner returns the command that made a version, if it is still known.
func (s *State) winner(version uint64) string {
	for n := len(s.audit) - 1; n >= 0; n-- {
		if a := s.audit[n]; a.GetToVersion() == version && a.GetFromVersion() < version {
			return a.GetCommandId()
		}
	}
	return ""
}

// CommandDigest tells a resend from another command.
func CommandDigest(c *configpb.Command) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(b)
	return sum[:]
}

// Apply folds one committed record at its index in the journal.
func (s *State) Apply(index uint64, r *recordpb.ControlRecord) {
	out := r.GetOutcome()
	if s.byID[out.GetCommandId()] != nil {
		return
	}
	from := s.Document().GetVersion()
	if out.GetResult() == recordpb.ControlOutcome_RESULT_ACCEPTED && out.GetVersion() == from+1 {
		s.doc, _ = ApplyCommand(s.Document(), r.GetCommand())
	}
	s.remember(out)
	s.trail(index, r, from)
}

func (s *State) remember(out *recordpb.ControlOutcome) {
	if s.byID == nil {
		s.byID = map[string]*recordpb.ControlOutcome{}
	}
	s.byID[out.GetCommandId()] = out
	s.outcomes = append(s.outcomes, out)
	if len(s.outcomes) > maxOutcomes {
		delete(s.byID, s.outcomes[0].GetCommandId())
		s.outcomes = s.outcomes[1:]
	}
}

// trail appends a line whose digest covers the line before it.
func (s *State) trail(index uint64, r *recordpb.ControlRecord, from uint64) {
	line := &recordpb.AuditRecord{
		Index:       index,
		AtMs:        r.GetAtMs(),
		Operator:    r.GetOperator(),
		CommandId:   r.GetCommandId(),
		Command:     r.GetCommand(),
		FromVersion: from,
		ToVersion:   s.Document().GetVersion(),
		Result:      r.GetOutcome().GetResult(),
	}
	var prev []byte
	if n := len(s.audit); n > 0 {
		prev = s.audit[n-1].GetDigest()
	}
	line.Digest = AuditDigest(prev, line)
	s.audit = append(s.audit, line)
	if len(s.audit) > maxAudit {
		s.audit = s.audit[1:]
	}
}

// AuditDigest returns the digest of a line after the one before it.
func AuditDigest(prev []byte, line *recordpb.AuditRecord) []byte {
	bare := proto.CloneOf(line)
	bare.Digest = nil
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(bare)
	if err != nil {
		return nil
	}
	h := sha256.New()
	h.Write(prev)
	h.Write(b)
	return h.Sum(nil)
}

// Snapshot returns the state for a journal's base.
func (s *State) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&recordpb.ControlState{
		Document: s.Document(),
		Outcomes: s.outcomes,
		Audit:    s.audit,
	})
}

// Restore replaces the state by a snapshot.
func (s *State) Restore(b []byte) error {
	var in recordpb.ControlState
	if err := proto.Unmarshal(b, &in); err != nil {
		return &SnapshotError{Cause: err}
	}
	*s = State{doc: in.GetDocument(), audit: in.GetAudit()}
	for _, o := range in.GetOutcomes() {
		s.remember(o)
	}
	return nil
}
