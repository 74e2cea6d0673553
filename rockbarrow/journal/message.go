// SPDX-License-Identifier: MIT

package journal

// Message is sent by a writer to a replica: [Prepare], [Fetch], [Append] or
// [Install].
type Message interface{ message() }

// Prepare asks for a promise to refuse all older ballots.
type Prepare struct{ Ballot Ballot }

// Fetch asks for at most Limit entries after an index.
type Fetch struct {
	Ballot Ballot
	After  uint64
	Limit  int
}

// Append asks to store entries after the one at PrevIndex, which must have the
// digest PrevDigest, and carries the commit index.
type Append struct {
	Ballot     Ballot
	PrevIndex  uint64
	PrevDigest Digest
	Entries    []Entry
	Commit     uint64
	// Nonce is returned in the reply and identifies the newest Confirm that the
	// reply acknowledges.
	Nonce uint64
}

// Install replaces the replica's log up to the base by a snapshot.
type Install struct {
	Ballot Ballot
	Base   Base
}

func (Prepare) message() {}
func (Fetch) message()   {}
func (Append) message()  {}
func (Install) message() {}

// Reply is sent by a replica to the writer: [Promised], [Fetched], [Accepted],
// [Mismatch], [Refused] or [NonVoting].
type Reply interface{ reply() }

// Promised grants a Prepare and describes the replica's log.
type Promised struct {
	Ballot     Ballot
	LastIndex  uint64
	LastBallot Ballot
	LastDigest Digest
	Commit     uint64
	// Fresh is true if the replica has no log and may have lost an earlier promise.
	Fresh bool
}

// Fetched answers a Fetch. Base is set if some of the entries were compacted.
type Fetched struct {
	Ballot  Ballot
	After   uint64
	Base    *Base
	Entries []Entry
}

// Accepted reports that the replica has stored the log up to Index, and has
// synced it if it uses a disk.
type Accepted struct {
	Ballot Ballot
	Index  uint64
	Nonce  uint64
}

// Mismatch reports that the log has no entry at PrevIndex with the expected
// digest. Index is the newest entry that may match.
type Mismatch struct {
	Ballot Ballot
	Index  uint64
}

// Refused reports that the replica has promised a newer ballot.
type Refused struct{ Promised Ballot }

// NonVoting reports that the member will not vote again: the instance has
// restarted with other storage, or its disk has failed.
type NonVoting struct{}

func (Promised) reply()  {}
func (Fetched) reply()   {}
func (Accepted) reply()  {}
func (Mismatch) reply()  {}
func (Refused) reply()   {}
func (NonVoting) reply() {}
