// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// UnknownDomainError is returned for a failure domain that does not exist.
type UnknownDomainError struct{ Name string }

func (e *UnknownDomainError) Error() string {
	return "controller: unknown failure domain " + e.Name
}

// Evacuate stops new work from being sent to the endpoints of a failure domain. It returns once a
// majority of the voters has stored the evacuation and other control instances know it, and is idempotent. It returns an
// [UnknownDomainError] if the domain does not exist.
func (c *Controller) Evacuate(ctx context.Context, domain string) error {
	return c.updateEvacuations(ctx, domain, func(list []*fleetpb.Evacuation) []*fleetpb.Evacuation {
		if slices.ContainsFunc(list, inFailureDomain(domain)) {
			return list
		}
		list = append(slices.Clone(list), &fleetpb.Evacuation{FailureDomain: domain, BegunMs: uint64(time.Now().UnixMilli())})
		slices.SortFunc(list, func(a, b *fleetpb.Evacuation) int { return strings.Compare(a.GetFailureDomain(), b.GetFailureDomain()) })
		return list
	})
}

// EndEvacuation ends the evacuation of a failure domain, with the same guarantees as Evacuate.
func (c *Controller) EndEvacuation(ctx context.Context, domain string) error {
	return c.updateEvacuations(ctx, domain, func(list []*fleetpb.Evacuation) []*fleetpb.Evacuation {
		return slices.DeleteFunc(slices.Clone(list), inFailureDomain(domain))
	})
}

func inFailureDomain(domain string) func(*fleetpb.Evacuation) bool {
	return func(e *fleetpb.Evacuation) bool { return e.GetFailureDomain() == domain }
}

// updateEvacuations applies next to the evacuations in force.
func (c *Controller) updateEvacuations(ctx context.Context, domain string, next func([]*fleetpb.Evacuation) []*fleetpb.Evacuation) error {
	if !slices.Contains(c.FailureDomains, domain) {
		return &UnknownDomainError{Name: domain}
	}
	_, err := c.applyCommand(ctx, func(s *fleetpb.State) *fleetpb.State {
		list := next(s.GetEvacuations())
		if s.GetNumber() == 0 || len(list) == len(s.GetEvacuations()) {
			return nil
		}
		s.Evacuations = list
		return s
	})
	return err
}
