// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/schema/fleetpb"
)

// evacuatedDomains returns the evacuated failure domains known to the instance.
func (p *testInstance) evacuatedDomains() string {
	out := ""
	for _, e := range p.controller.State().GetEvacuations() {
		out += e.GetFailureDomain()
	}
	return out
}

// Evacuations must survive a restart of all instances, be idempotent and reach entry instances.
func TestEvacuationsArePersistent(t *testing.T) {
	cluster := startCluster(t)
	order := func(p *testInstance, domain string, end bool) error {
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
		if err := order(cluster[s.instance], s.domain, s.end); err != nil {
			t.Fatal(err)
		}
		if got := cluster[s.instance].evacuatedDomains(); got != s.want {
			t.Errorf("%s are evacuated, want %s", got, s.want)
		}
	}
	putConfiguration(t, cluster[0], 1, "one")
	for _, p := range cluster {
		p.stop()
	}
	for _, p := range cluster {
		p.start(nil)
	}
	waitFor(t, func() bool { return cluster[2].evacuatedDomains() == "a" })
	reply, err := cluster[2].controller.Watch(t.Context(), &fleetpb.WatchRequest{
		Sender: &fleetpb.Member{Instance: "entry"}, Role: fleetpb.Role_ROLE_ENTRY, WantsNews: true, WithoutDocument: true,
	})
	if err != nil || len(reply.GetState().GetEvacuations()) != 1 || reply.GetState().GetEvacuations()[0].GetBegunMs() == 0 {
		t.Errorf("%v, %v", reply.GetState(), err)
	}
}

// An evacuation must not be acknowledged without a majority or for an unknown failure domain.
func TestEvacuateRequiresMajorityAndKnownDomain(t *testing.T) {
	cluster := startCluster(t)
	cluster[0].controller.FailureDomains = []string{"a"}
	var unknown *UnknownDomainError
	if err := cluster[0].controller.Evacuate(t.Context(), "c"); !errors.As(err, &unknown) {
		t.Errorf("%v", err)
	}
	cluster[1].stop()
	cluster[2].stop()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := cluster[0].controller.Evacuate(ctx, "a"); err == nil || cluster[0].evacuatedDomains() != "" {
		t.Errorf("an evacuation was acknowledged by one of three voters: %v", err)
	}
}
