// SPDX-License-Identifier: MIT

package journal

// Message goes from a writer to a replica: [Prepare], [Fetch], [Append] or
// [Install].
type Message interface{ message() }

// Prepare asks to refuse all ballots older than this one.
type Prepare struct{ Ballot Ballot }

// Fetch asks for the entries after an index, at most Limit of them.
type Fetch struct {
	Ballot Ballot
	After  uint64
	Limit  int
}

// Append asks to store entries after the one at PrevIndex, whose digest the
// replica must hold, and tells how far the log is committed.
type Append struct {
	Ballot     Ballot
	PrevIndex  uint64
	PrevDigest Digest
	Entries    []Entry
	Commit     uint64
	// Nonce comes back in the reply, so that a late reply proves nothing new.
	Nonce uint64
}

// Install replaces what the replica holds below the base by its snapshot.
type Install struct {
	Ballot Ballot
	Base   Base
}

func (Prepare) message() {}
func (Fetch) message()   {}
func (Append) message()  {}
func (Install) message() {}

// Reply goes from a replica back to the writer: [Promised], [Fetched],
// [Accepted], [Gap], [Refused] or [Silent].
type Reply interface{ reply() }

// Promised grants a Prepare and describes the log that the replica holds.
type Promised struct {
	Ballot     Ballot
	LastIndex  uint64
	LastBallot Ballot
	LastDigest Digest
	Commit     uint64
	// Fresh is set by a replica that may have forgotten an earlier promise for
	// a journal that it does not know.
	Fresh bool
}

// Fetched answers a Fetch. Base is set when the asked entries are folded.
type Fetched struct {
	Ballot  Ballot
	After   uint64
	Base    *Base
	Entries []Entry
}

// Accepted says that the log is held, and synced where there is a disk, up to
// Index.
type Accepted struct {
	Ballot Ballot
	Index  uint64
	Nonce  uint64
}

// Gap says that the log does not reach or match PrevIndex; Index is the newest
// entry that may match.
type Gap struct {
	Ballot Ballot
	Index  uint64
}

// Refused says that a newer ballot is promised.
type Refused struct{ Promised Ballot }

// Silent says that the replica never votes again in this life: another life of
// the instance answers, or its disk failed.
type Silent struct{}

func (Promised) reply() {}
func (Fetched) reply()  {}
func (Accepted) reply() {}
func (Gap) reply()      {}
func (Refused) reply()  {}
func (Silent) reply()   {}
