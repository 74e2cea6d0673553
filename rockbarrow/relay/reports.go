// SPDX-License-Identifier: MIT

package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// calmWithin is how lately a follower must have called to be relayed without a time: two of its calls.
	calmWithin = 700 * time.Millisecond
	// forgetAfter is how long a follower is silent until it is forgotten.
	forgetAfter = time.Minute
	// endedFor is how long ended calls are kept for receivers that do not answer. Their weight halves in that time.
	endedFor = 2 * time.Second
	// lookEvery is how often followers are looked through for those that fell silent.
	lookEvery = 100 * time.Millisecond
)

// Reports is what a control instance hears from its followers, in the form in which it is relayed. The zero value is ready.
type Reports struct {
	mu sync.Mutex
	// process names the process to receivers.
	process uint64
	// sequence is that of the newest change.
	sequence  uint64
	followers map[string]*follower
	// left holds the sequence in which an instance was forgotten.
	left  map[string]uint64
	ended []endedCalls
	// looked is when followers were looked through last.
	looked time.Time
}

type follower struct {
	member *fleetpb.Member
	role   fleetpb.Role
	copied uint64
	serves bool
	heard  time.Time
	// silent is true once silence has been relayed.
	silent bool
	// changed is the sequence of the last change.
	changed uint64
}

// endedCalls are those of one report.
type endedCalls struct {
	at       time.Time
	sequence uint64
	uses     []*fleetpb.EndpointUse
}

// Receive takes a call of an entry or store instance. Ended calls are relayed if the sender reports to this instance alone.
func (r *Reports) RecordCall(now time.Time, req *fleetpb.WatchRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin()
	name := req.GetSender().GetInstance()
	f := r.followers[name]
	if f == nil {
		f = &follower{}
		r.followers[name] = f
		delete(r.left, name)
	}
	if !sameMember(f.member, req.GetSender()) || f.role != req.GetRole() || f.copied != req.GetCopiedEpoch() || f.serves != req.GetServes() || f.silent {
		r.sequence++
		f.changed = r.sequence
	}
	f.member, f.role, f.copied, f.serves = req.GetSender(), req.GetRole(), req.GetCopiedEpoch(), req.GetServes()
	f.heard, f.silent = now, false
	if req.GetCompact() {
		r.end(now, req.GetUses())
	}
}

// begin draws the name of the process; the caller holds mu.
func (r *Reports) begin() {
	if r.followers == nil {
		// No change has the sequence zero, which asks for a snapshot.
		r.process, r.sequence = rand.Uint64(), 1
		r.followers, r.left = map[string]*follower{}, map[string]uint64{}
	}
}

func sameMember(a, b *fleetpb.Member) bool {
	return a.GetInstance() == b.GetInstance() && a.GetStorage() == b.GetStorage() &&
		a.GetFailureDomain() == b.GetFailureDomain() && a.GetAddress() == b.GetAddress()
}

// end notes ended calls; the caller holds mu.
func (r *Reports) end(now time.Time, uses []*fleetpb.EndpointUse) {
	var ended []*fleetpb.EndpointUse
	for _, u := range uses {
		if u.GetAnswered() > 0 || u.GetFailed() > 0 || u.GetLost() > 0 {
			ended = append(ended, &fleetpb.EndpointUse{
				Endpoint: u.GetEndpoint(), BornMs: u.GetBornMs(), Answered: u.GetAnswered(), Failed: u.GetFailed(), Lost: u.GetLost(),
			})
		}
	}
	if len(ended) == 0 {
		return
	}
	r.sequence++
	r.ended = append(r.ended, endedCalls{at: now, sequence: r.sequence, uses: ended})
}

// Since returns what a receiver lacks that has acknowledged a sequence, zero for a snapshot. Running are the calls under
// way of the followers.
func (r *Reports) Since(now time.Time, acknowledged uint64, running []*fleetpb.EndpointUse) *fleetpb.Relayed {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin()
	r.look(now)
	out := &fleetpb.Relayed{Process: r.process, Since: acknowledged, Sequence: r.sequence, Running: running}
	for _, f := range r.followers {
		if f.changed > acknowledged {
			out.Followers = append(out.Followers, f.message(now))
		}
	}
	if acknowledged == 0 {
		return out
	}
	for name, sequence := range r.left {
		if sequence > acknowledged {
			out.Left = append(out.Left, name)
		}
	}
	for _, e := range r.ended {
		if e.sequence > acknowledged {
			out.Ended = append(out.Ended, &fleetpb.EndedCalls{Sequence: e.sequence, Uses: e.uses})
		}
	}
	return out
}

func (f *follower) message(now time.Time) *fleetpb.Follower {
	out := &fleetpb.Follower{Member: f.member, Role: f.role, CopiedEpoch: f.copied, Serves: f.serves}
	if f.silent {
		out.SilentMs = uint32(max(1, now.Sub(f.heard).Milliseconds()))
	}
	return out
}

// look notes who fell silent and forgets what is old; the caller holds mu.
func (r *Reports) look(now time.Time) {
	if now.Sub(r.looked) < lookEvery {
		return
	}
	r.looked = now
	for name, f := range r.followers {
		silence := now.Sub(f.heard)
		if silence > forgetAfter {
			delete(r.followers, name)
			r.sequence++
			r.left[name] = r.sequence
		} else if silence > calmWithin && !f.silent {
			f.silent = true
			r.sequence++
			f.changed = r.sequence
		}
	}
	for len(r.ended) > 0 && now.Sub(r.ended[0].at) > endedFor {
		r.ended = r.ended[1:]
	}
}

// Refresh counts all followers as heard now, after this process was stopped for a while.
func (r *Reports) MarkAllHeard(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.followers {
		f.heard = now
	}
}
