// SPDX-License-Identifier: MIT

package control

import (
	"crypto/sha256"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// maxOutcomes bounds the number of stored outcomes and thereby the period in
	// which a resent command is recognized: two months at 460 commands a day.
	maxOutcomes = 32_768
	// maxAuditRecords bounds the length of the audit trail.
	maxAuditRecords = 65_536
)

// State is the replicated state machine of the control journal. The zero value
// holds an empty document.
type State struct {
	doc         *configpb.Document
	outcomes    []*recordpb.ControlOutcome
	outcomeByID map[string]*recordpb.ControlOutcome
	audit       []*recordpb.AuditRecord
}

// Document returns the latest accepted version, which must not be modified.
func (s *State) Document() *configpb.Document {
	if s.doc == nil {
		return &configpb.Document{}
	}
	return s.doc
}

// Outcome returns the stored outcome of a command, or nil.
func (s *State) Outcome(commandID string) *recordpb.ControlOutcome { return s.outcomeByID[commandID] }

// Audit returns the audit trail, oldest record first.
func (s *State) Audit() []*recordpb.AuditRecord { return s.audit }

// Evaluate returns the outcome that a command would have in the current state,
// which it does not modify.
func (s *State) Evaluate(id string, expected uint64, c *configpb.Command, domains []FailureDomain) *recordpb.ControlOutcome {
	digest := CommandDigest(c)
	if old := s.outcomeByID[id]; old != nil {
		if string(old.GetCommandDigest()) == string(digest) {
			return old
		}
		return &recordpb.ControlOutcome{CommandId: id, Version: s.Document().GetVersion(), Result: recordpb.ControlOutcome_RESULT_REUSED_ID}
	}
	out := &recordpb.ControlOutcome{CommandId: id, CommandDigest: digest, Version: s.Document().GetVersion()}
	if expected != 0 && expected != out.GetVersion() {
		out.Result = recordpb.ControlOutcome_RESULT_CONFLICT
		out.Winner = s.commandOfVersion(expected + 1)
		return out
	}
	next, missing := ApplyCommand(s.Document(), c)
	for _, name := range missing {
		out.Violations = append(out.Violations, &recordpb.Violation{Field: "remove[" + name + "]", Description: "does not exist"})
	}
	if len(c.GetChanges()) == 0 {
		out.Violations = append(out.Violations, &recordpb.Violation{Field: "changes", Description: "must contain at least one change"})
	}
	out.Violations = append(out.Violations, Validate(next, domains)...)
	if len(out.GetViolations()) > 0 {
		out.Result = recordpb.ControlOutcome_RESULT_INVALID
		return out
	}
	out.Result = recordpb.ControlOutcome_RESULT_ACCEPTED
	out.Version = next.GetVersion()
	return out
}

// commandOfVersion returns the id of the command that created a version, or "" if
// it is no longer in the audit trail.
func (s *State) commandOfVersion(version uint64) string {
	for n := len(s.audit) - 1; n >= 0; n-- {
		if a := s.audit[n]; a.GetToVersion() == version && a.GetFromVersion() < version {
			return a.GetCommandId()
		}
	}
	return ""
}

// CommandDigest returns a digest that distinguishes a resent command from another
// command under the same id.
func CommandDigest(c *configpb.Command) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(c)
	if err != nil {
		return nil
	}
	sum := sha256.Sum256(b)
	return sum[:]
}

// Apply applies a committed record at its index in the journal.
func (s *State) Apply(index uint64, r *recordpb.ControlRecord) {
	out := r.GetOutcome()
	if s.outcomeByID[out.GetCommandId()] != nil {
		return
	}
	from := s.Document().GetVersion()
	if out.GetResult() == recordpb.ControlOutcome_RESULT_ACCEPTED && out.GetVersion() == from+1 {
		s.doc, _ = ApplyCommand(s.Document(), r.GetCommand())
	}
	s.storeOutcome(out)
	s.appendAudit(index, r, from)
}

func (s *State) storeOutcome(out *recordpb.ControlOutcome) {
	if s.outcomeByID == nil {
		s.outcomeByID = map[string]*recordpb.ControlOutcome{}
	}
	s.outcomeByID[out.GetCommandId()] = out
	s.outcomes = append(s.outcomes, out)
	if len(s.outcomes) > maxOutcomes {
		delete(s.outcomeByID, s.outcomes[0].GetCommandId())
		s.outcomes = s.outcomes[1:]
	}
}

// appendAudit appends a record whose digest covers the preceding record.
func (s *State) appendAudit(index uint64, r *recordpb.ControlRecord, from uint64) {
	record := &recordpb.AuditRecord{
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
	record.Digest = AuditDigest(prev, record)
	s.audit = append(s.audit, record)
	if len(s.audit) > maxAuditRecords {
		s.audit = s.audit[1:]
	}
}

// AuditDigest returns the digest of a record, given the digest of the preceding
// one.
func AuditDigest(prev []byte, record *recordpb.AuditRecord) []byte {
	withoutDigest := proto.CloneOf(record)
	withoutDigest.Digest = nil
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(withoutDigest)
	if err != nil {
		return nil
	}
	h := sha256.New()
	h.Write(prev)
	h.Write(b)
	return h.Sum(nil)
}

// Snapshot encodes the state for the base of a journal.
func (s *State) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&recordpb.ControlState{
		Document: s.Document(),
		Outcomes: s.outcomes,
		Audit:    s.audit,
	})
}

// Restore replaces the state with an encoded snapshot.
func (s *State) Restore(b []byte) error {
	var in recordpb.ControlState
	if err := proto.Unmarshal(b, &in); err != nil {
		return &SnapshotError{Cause: err}
	}
	*s = State{doc: in.GetDocument(), audit: in.GetAudit()}
	for _, o := range in.GetOutcomes() {
		s.storeOutcome(o)
	}
	return nil
}
