// SPDX-License-Identifier: MIT

// Package wire turns journal values into messages of the schema and back.
//
// Decoding never fails: a message that makes no sense becomes a value that the
// journal refuses by its digests and ballots.
package wire

import (
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/schema/peerpb"
)

// The kinds of journal messages and replies.
const (
	kindPrepare = iota + 1
	kindFetch
	kindAppend
	kindInstall
	kindPromised
	kindFetched
	kindAccepted
	kindGap
	kindRefused
	kindSilent
)

// Ballot returns the schema's form of a ballot.
func Ballot(b journal.Ballot) *peerpb.Ballot {
	return &peerpb.Ballot{Round: b.Round(), Instance: b.Instance(), Incarnation: b.Incarnation()}
}

// ToBallot returns the ballot of a message.
func ToBallot(p *peerpb.Ballot) journal.Ballot {
	return journal.NewBallot(p.GetRound(), journal.NewMember(p.GetInstance(), p.GetIncarnation()))
}

// Member returns the schema's form of a member.
func Member(m journal.Member) *peerpb.Member {
	return &peerpb.Member{Instance: m.Instance(), Incarnation: m.Incarnation(), Witness: m.Witness(), Disk: m.Disk()}
}

// ToMember returns the member of a message.
func ToMember(p *peerpb.Member) journal.Member {
	m := journal.NewMember(p.GetInstance(), p.GetIncarnation())
	if p.GetWitness() {
		m = m.WithWitness()
	}
	if p.GetDisk() {
		m = m.WithDisk()
	}
	return m
}

func members(s journal.Members) []*peerpb.Member {
	out := make([]*peerpb.Member, 0, len(s))
	for _, m := range s {
		out = append(out, Member(m))
	}
	return out
}

func toMembers(ps []*peerpb.Member) journal.Members {
	if len(ps) == 0 {
		return nil
	}
	out := make(journal.Members, 0, len(ps))
	for _, p := range ps {
		out = append(out, ToMember(p))
	}
	return out
}

// Entry returns the schema's form of an entry.
func Entry(e journal.Entry) *peerpb.Entry {
	d, pd := e.Digest(), e.PayloadDigest()
	return &peerpb.Entry{
		Index:         e.Index(),
		Ballot:        Ballot(e.Ballot()),
		Digest:        d[:],
		PayloadDigest: pd[:],
		Payload:       e.Payload(),
		Members:       members(e.Members()),
	}
}

// ToEntry returns the entry of a message.
func ToEntry(p *peerpb.Entry) journal.Entry {
	payload := p.GetPayload()
	if len(payload) == 0 {
		payload = nil
	}
	return journal.RestoreEntry(p.GetIndex(), ToBallot(p.GetBallot()), toDigest(p.GetDigest()), toDigest(p.GetPayloadDigest()), payload, toMembers(p.GetMembers()))
}

func toDigest(b []byte) journal.Digest {
	var d journal.Digest
	copy(d[:], b)
	return d
}

func entries(es []journal.Entry) []*peerpb.Entry {
	out := make([]*peerpb.Entry, 0, len(es))
	for _, e := range es {
		out = append(out, Entry(e))
	}
	return out
}

func toEntries(ps []*peerpb.Entry) []journal.Entry {
	out := make([]journal.Entry, 0, len(ps))
	for _, p := range ps {
		out = append(out, ToEntry(p))
	}
	return out
}

// Base returns the schema's form of a base.
func Base(b journal.Base) *peerpb.Base {
	d := b.Digest()
	return &peerpb.Base{Index: b.Index(), Ballot: Ballot(b.Ballot()), Digest: d[:], Members: members(b.Members()), State: b.State()}
}

// ToBase returns the base of a message.
func ToBase(p *peerpb.Base) journal.Base {
	return journal.RestoreBase(p.GetIndex(), ToBallot(p.GetBallot()), toDigest(p.GetDigest()), toMembers(p.GetMembers()), p.GetState())
}

// Request returns the schema's form of a message to a member of a journal.
func Request(name string, to journal.Member, m journal.Message) *peerpb.JournalRequest {
	out := &peerpb.JournalRequest{Journal: name, To: Member(to)}
	switch m := m.(type) {
	case journal.Prepare:
		out.Kind, out.Ballot = kindPrepare, Ballot(m.Ballot)
	case journal.Fetch:
		out.Kind, out.Ballot = kindFetch, Ballot(m.Ballot)
		out.Index, out.Limit = m.After, uint64(m.Limit)
	case journal.Append:
		out.Kind, out.Ballot = kindAppend, Ballot(m.Ballot)
		out.Index, out.Digest = m.PrevIndex, m.PrevDigest[:]
		out.Entries, out.Commit, out.Nonce = entries(m.Entries), m.Commit, m.Nonce
	case journal.Install:
		out.Kind, out.Ballot = kindInstall, Ballot(m.Ballot)
		out.Base = Base(m.Base)
	}
	return out
}

// ToMessage returns the message of a request, or nil for an unknown kind.
func ToMessage(p *peerpb.JournalRequest) journal.Message {
	b := ToBallot(p.GetBallot())
	switch p.GetKind() {
	case kindPrepare:
		return journal.Prepare{Ballot: b}
	case kindFetch:
		const most = 1024
		return journal.Fetch{Ballot: b, After: p.GetIndex(), Limit: int(min(p.GetLimit(), most))}
	case kindAppend:
		return journal.Append{Ballot: b, PrevIndex: p.GetIndex(), PrevDigest: toDigest(p.GetDigest()), Entries: toEntries(p.GetEntries()), Commit: p.GetCommit(), Nonce: p.GetNonce()}
	case kindInstall:
		return journal.Install{Ballot: b, Base: ToBase(p.GetBase())}
	}
	return nil
}

// Reply returns the schema's form of a reply.
func Reply(from journal.Member, r journal.Reply) *peerpb.JournalReply {
	out := &peerpb.JournalReply{From: Member(from)}
	switch r := r.(type) {
	case journal.Promised:
		out.Kind, out.Ballot = kindPromised, Ballot(r.Ballot)
		out.Index, out.LastBallot, out.Digest = r.LastIndex, Ballot(r.LastBallot), r.LastDigest[:]
		out.Commit, out.Fresh = r.Commit, r.Fresh
	case journal.Fetched:
		out.Kind, out.Ballot = kindFetched, Ballot(r.Ballot)
		out.Index, out.Entries = r.After, entries(r.Entries)
		if r.Base != nil {
			out.Base = Base(*r.Base)
		}
	case journal.Accepted:
		out.Kind, out.Ballot, out.Index, out.Nonce = kindAccepted, Ballot(r.Ballot), r.Index, r.Nonce
	case journal.Mismatch:
		out.Kind, out.Ballot, out.Index = kindGap, Ballot(r.Ballot), r.Index
	case journal.Refused:
		out.Kind, out.Ballot = kindRefused, Ballot(r.Promised)
	case journal.NonVoting:
		out.Kind = kindSilent
	}
	return out
}

// ToReply returns the reply of a message, or nil for an unknown kind.
func ToReply(p *peerpb.JournalReply) journal.Reply {
	b := ToBallot(p.GetBallot())
	switch p.GetKind() {
	case kindPromised:
		return journal.Promised{Ballot: b, LastIndex: p.GetIndex(), LastBallot: ToBallot(p.GetLastBallot()), LastDigest: toDigest(p.GetDigest()), Commit: p.GetCommit(), Fresh: p.GetFresh()}
	case kindFetched:
		out := journal.Fetched{Ballot: b, After: p.GetIndex(), Entries: toEntries(p.GetEntries())}
		if p.GetBase() != nil {
			base := ToBase(p.GetBase())
			out.Base = &base
		}
		return out
	case kindAccepted:
		return journal.Accepted{Ballot: b, Index: p.GetIndex(), Nonce: p.GetNonce()}
	case kindGap:
		return journal.Mismatch{Ballot: b, Index: p.GetIndex()}
	case kindRefused:
		return journal.Refused{Promised: b}
	case kindSilent:
		return journal.NonVoting{}
	}
	return nil
}
