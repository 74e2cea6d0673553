// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/schema/fleetpb"
)

// evacuated returns the evacuated failure domains that an instance knows.
func (p *place) evacuated() string {
	out := ""
	for _, e := range p.controller.State().GetEvacuations() {
		out += e.GetFailureDomain()
	}
	return out
}

// TestEvacuationsAreKept by a majority over a loss of power of all, may be ordered again, and reach entry instances.
func TestEvacuationsAreKept(t *testing.T) {
	core := newCore(t)
	order := func(p *place, domain string, end bool) error {
		p.controller.FailureDomains = []string{"a", "b"}
		if end {
			return p.controller.EndEvacuation(t.Context(), domain)
		}
		return p.controller.Evacuate(t.Context(), domain)
	}
	steps := []struct {
		instance int
		domain   string
		end      bool
		want     string
	}{{0, "b", false, "b"}, {1, "a", false, "ab"}, {2, "a", false, "ab"}, {0, "b", true, "a"}, {1, "b", true, "a"}}
	for _, s := range steps {
		if err := order(core[s.instance], s.domain, s.end); err != nil {
			t.Fatal(err)
		}
		if got := core[s.instance].evacuated(); got != s.want {
			t.Errorf("%s are evacuated, want %s", got, s.want)
		}
	}
	put(t, core[0], 1, "one")
	for _, p := range core {
		p.stop()
	}
	for _, p := range core {
		p.start(nil)
	}
	await(t, func() bool { return core[2].evacuated() == "a" })
	reply, err := core[2].controller.Watch(t.Context(), &fleetpb.WatchRequest{
		Sender: &fleetpb.Member{Instance: "entry"}, Role: fleetpb.Role_ROLE_ENTRY, WantsNews: true, WithoutDocument: true,
	})
	if err != nil || len(reply.GetState().GetEvacuations()) != 1 || reply.GetState().GetEvacuations()[0].GetBegunMs() == 0 {
		t.Errorf("%v, %v", reply.GetState(), err)
	}
}

// TestAnEvacuationThatIsNotKeptIsNotAcknowledged: by a minority, or of a domain that there is not.
func TestAnEvacuationThatIsNotKeptIsNotAcknowledged(t *testing.T) {
	core := newCore(t)
	core[0].controller.FailureDomains = []string{"a"}
	var unknown *UnknownDomainError
	if err := core[0].controller.Evacuate(t.Context(), "c"); !errors.As(err, &unknown) {
		t.Errorf("%v", err)
	}
	core[1].stop()
	core[2].stop()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := core[0].controller.Evacuate(ctx, "a"); err == nil || core[0].evacuated() != "" {
		t.Errorf("one of three acknowledged an evacuation: %v", err)
	}
}
