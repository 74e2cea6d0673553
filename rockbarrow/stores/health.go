// SPDX-License-Identifier: MIT

package stores

import (
	"context"
	"strconv"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/ledger"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// suspectAfter is how long a call may stay unanswered before its store counts
	// as out of reach. A call takes some 5 ms, and 50 under a burst.
	suspectAfter = 250 * time.Millisecond
	// probeEvery is how often a store out of reach is asked again, probeWithin
	// how long it may take to answer.
	probeEvery  = 200 * time.Millisecond
	probeWithin = 300 * time.Millisecond
)

// health is which stores answer. Calls tell it; only stores out of reach are
// probed, so that it costs nothing on a calm day. The zero value is ready.
type health struct {
	mu sync.Mutex
	// out holds the storages that did not answer their last call.
	out map[uint64]bool
}

func (h *health) set(storage uint64, out bool) (changed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.out[storage] == out {
		return false
	}
	if h.out == nil {
		h.out = map[uint64]bool{}
	}
	if out {
		h.out[storage] = true
	} else {
		delete(h.out, storage)
	}
	return true
}

func (h *health) allThere() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.out) == 0
}

func (h *health) isOut(storage uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.out[storage]
}

// sampled is how many groups tell whether stores are reached in general.
const sampled = 16

// Reachable reports whether half of the groups of stores or more can be written.
// Groups are spread over failure domains, so that more stores than a group may
// lose can be out of reach while every group has its quorum.
func (c *Client) Reachable() bool {
	v := c.Watch.State().GetView()
	if v == nil {
		return false
	}
	if c.health.allThere() {
		return true
	}
	reached := 0
	for i := range sampled {
		if c.reaches(v, strconv.Itoa(i)) {
			reached++
		}
	}
	return 2*reached >= sampled
}

// Reaches reports whether a program's records can be read and written.
func (c *Client) Reaches(program string) bool {
	v := c.Watch.State().GetView()
	return v != nil && (c.health.allThere() || c.reaches(v, program))
}

func (c *Client) reaches(v *fleetpb.View, program string) bool {
	copies := int(v.GetCopies())
	present, prior := ledger.Group(v.GetMembers(), program, copies), ledger.Group(v.GetPrior(), program, copies)
	return c.outOf(present) <= ledger.Losable(len(present)) && c.outOf(prior) <= ledger.Unheard(len(prior))
}

func (c *Client) outOf(group []*fleetpb.Member) int {
	out := 0
	for _, m := range group {
		if c.health.isOut(m.GetStorage()) {
			out++
		}
	}
	return out
}

// DomainsOut returns the failure domains none of whose stores answers.
func (c *Client) DomainsOut() []string {
	reached, out := map[string]bool{}, []string{}
	members := c.Watch.State().GetView().GetMembers()
	for _, m := range members {
		if !c.health.isOut(m.GetStorage()) {
			reached[m.GetFailureDomain()] = true
		}
	}
	for _, m := range members {
		if d := m.GetFailureDomain(); !reached[d] {
			reached[d] = true
			out = append(out, d)
		}
	}
	return out
}

// observe tells how a store took a call.
func (c *Client) observe(m *fleetpb.Member, err error) {
	if !c.health.set(m.GetStorage(), err != nil) {
		return
	}
	l := c.Watch.Log.WithField("store", m.GetInstance())
	if err != nil {
		l.WithError(err).Warn("store is out of reach")
		return
	}
	l.Info("store is reached again")
}

// suspectError says that a call has no answer yet.
type suspectError struct{}

func (e *suspectError) Error() string { return "no answer within " + suspectAfter.String() }

// suspicion marks a store as out of reach while its call has no answer.
type suspicion struct {
	client *Client
	member *fleetpb.Member
	asked  time.Time
}

func (s *suspicion) run() {
	if !stoodStill(s.asked, suspectAfter) {
		s.client.observe(s.member, &suspectError{})
	}
}

// stillFor is how late a timer may be before this process, and not the peer, is
// taken for the one that stood still.
const stillFor = 150 * time.Millisecond

// stoodStill reports whether a timer that was set for a time fired much later:
// what came in meanwhile has not been read yet, so that silence means nothing.
func stoodStill(set time.Time, wait time.Duration) bool {
	return time.Since(set) > wait+stillFor
}

// Run probes the stores that are out of reach, until ctx ends.
func (c *Client) Run(ctx context.Context) {
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			c.probe(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (c *Client) probe(ctx context.Context) {
	v := c.Watch.State().GetView()
	for _, list := range [][]*fleetpb.Member{v.GetMembers(), v.GetPrior()} {
		for _, m := range list {
			if c.health.isOut(m.GetStorage()) {
				go (&prober{client: c, member: m, epoch: v.GetEpoch()}).run(ctx)
			}
		}
	}
}

// prober asks one store whether it is there.
type prober struct {
	client *Client
	member *fleetpb.Member
	epoch  uint64
}

func (p *prober) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeWithin)
	defer cancel()
	conn, err := p.client.Pool.Get(p.member.GetAddress())
	if err == nil {
		_, err = fleetpb.NewStoreClient(conn).Lookup(ctx, &fleetpb.LookupRequest{Epoch: p.epoch, Storage: p.member.GetStorage()})
	}
	if err == nil {
		p.client.observe(p.member, nil)
	}
}
