// SPDX-License-Identifier: MIT

package relay

import (
	"math/rand/v2"
	"sync"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// silenceThreshold is how long a follower may be silent before its silence is relayed; it spans
	// two calls.
	silenceThreshold = 700 * time.Millisecond
	// expireAfter is how long a silent follower is remembered.
	expireAfter = time.Minute
	// endedRetention is how long ended calls are kept for receivers that do not acknowledge them.
	// Their weight halves in that time.
	endedRetention = 2 * time.Second
	// scanInterval is the interval between scans for silent followers.
	scanInterval = 100 * time.Millisecond
)

// Reports collects the reports of a control instance's followers for relaying. The zero value is
// ready to use.
type Reports struct {
	mu sync.Mutex
	// processID identifies this process to receivers.
	processID uint64
	// sequence is the number of the newest change.
	sequence  uint64
	followers map[string]*follower
	// removed maps the names of forgotten instances to the sequence numbers of their removal.
	removed map[string]uint64
	ended   []endedCalls
	// lastScan is when followers were last scanned for silence.
	lastScan time.Time
}

type follower struct {
	member      *fleetpb.Member
	role        fleetpb.Role
	copiedEpoch uint64
	serves      bool
	lastHeard   time.Time
	// silent is set once the follower's silence is being relayed.
	silent bool
	// changed is the sequence number of the last change.
	changed uint64
}

// endedCalls are the ended calls of one report.
type endedCalls struct {
	at       time.Time
	sequence uint64
	uses     []*fleetpb.EndpointUse
}

// RecordCall records a call of an entry or store instance. Its ended calls are relayed if the
// sender reports to this control instance alone.
func (r *Reports) RecordCall(now time.Time, req *fleetpb.WatchRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initialize()
	name := req.GetSender().GetInstance()
	f := r.followers[name]
	if f == nil {
		f = &follower{}
		r.followers[name] = f
		delete(r.removed, name)
	}
	if !sameMember(f.member, req.GetSender()) || f.role != req.GetRole() || f.copiedEpoch != req.GetCopiedEpoch() || f.serves != req.GetServes() || f.silent {
		r.sequence++
		f.changed = r.sequence
	}
	f.member, f.role, f.copiedEpoch, f.serves = req.GetSender(), req.GetRole(), req.GetCopiedEpoch(), req.GetServes()
	f.lastHeard, f.silent = now, false
	if req.GetCompact() {
		r.addEnded(now, req.GetUses())
	}
}

// initialize assigns the process id on first use; the caller holds mu.
func (r *Reports) initialize() {
	if r.followers == nil {
		// Sequence numbers start above zero, which requests a snapshot.
		r.processID, r.sequence = rand.Uint64(), 1
		r.followers, r.removed = map[string]*follower{}, map[string]uint64{}
	}
}

func sameMember(a, b *fleetpb.Member) bool {
	return a.GetInstance() == b.GetInstance() && a.GetStorage() == b.GetStorage() &&
		a.GetFailureDomain() == b.GetFailureDomain() && a.GetAddress() == b.GetAddress()
}

// addEnded records ended calls; the caller holds mu.
func (r *Reports) addEnded(now time.Time, uses []*fleetpb.EndpointUse) {
	var ended []*fleetpb.EndpointUse
	for _, u := range uses {
		if u.GetAnswered() > 0 || u.GetFailed() > 0 || u.GetLost() > 0 || u.GetDecodedTokens() > 0 || u.GetDecodeUs() > 0 {
			ended = append(ended, &fleetpb.EndpointUse{
				Endpoint: u.GetEndpoint(), BornMs: u.GetBornMs(), Answered: u.GetAnswered(), Failed: u.GetFailed(), Lost: u.GetLost(),
				DecodedTokens: u.GetDecodedTokens(), DecodeUs: u.GetDecodeUs(),
			})
		}
	}
	if len(ended) == 0 {
		return
	}
	r.sequence++
	r.ended = append(r.ended, endedCalls{at: now, sequence: r.sequence, uses: ended})
}

// Since returns the changes after an acknowledged sequence number, or a snapshot if it is zero.
// Running are the running calls of the followers.
func (r *Reports) Since(now time.Time, acknowledged uint64, running []*fleetpb.EndpointUse) *fleetpb.Relayed {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initialize()
	r.scan(now)
	out := &fleetpb.Relayed{Process: r.processID, Since: acknowledged, Sequence: r.sequence, Running: running}
	for _, f := range r.followers {
		if f.changed > acknowledged {
			out.Followers = append(out.Followers, f.toMessage(now))
		}
	}
	if acknowledged == 0 {
		return out
	}
	for name, sequence := range r.removed {
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

func (f *follower) toMessage(now time.Time) *fleetpb.Follower {
	out := &fleetpb.Follower{Member: f.member, Role: f.role, CopiedEpoch: f.copiedEpoch, Serves: f.serves}
	if f.silent {
		out.SilentMs = uint32(max(1, now.Sub(f.lastHeard).Milliseconds()))
	}
	return out
}

// scan marks silent followers and drops expired data; the caller holds mu.
func (r *Reports) scan(now time.Time) {
	if now.Sub(r.lastScan) < scanInterval {
		return
	}
	r.lastScan = now
	for name, f := range r.followers {
		silence := now.Sub(f.lastHeard)
		if silence > expireAfter {
			delete(r.followers, name)
			r.sequence++
			r.removed[name] = r.sequence
		} else if silence > silenceThreshold && !f.silent {
			f.silent = true
			r.sequence++
			f.changed = r.sequence
		}
	}
	for len(r.ended) > 0 && now.Sub(r.ended[0].at) > endedRetention {
		r.ended = r.ended[1:]
	}
}

// MarkAllHeard treats all followers as heard now, after this process was stalled.
func (r *Reports) MarkAllHeard(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.followers {
		f.lastHeard = now
	}
}
