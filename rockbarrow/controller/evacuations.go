// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"rockbarrow.dev/schema/fleetpb"
)

// UnknownDomainError says that there is no failure domain of a name.
type UnknownDomainError struct{ Name string }

// Error names the failure domain.
func (e *UnknownDomainError) Error() string {
	return "controller: there is no failure domain " + e.Name
}

// Evacuate orders that the endpoints of a failure domain get nothing new. It returns once a majority of the voters keeps
// the order. Ordering it again changes nothing. A domain that is not known is an [UnknownDomainError].
func (c *Controller) Evacuate(ctx context.Context, domain string) error {
	return c.evacuate(ctx, domain, func(list []*fleetpb.Evacuation) []*fleetpb.Evacuation {
		if slices.ContainsFunc(list, isOf(domain)) {
			return list
		}
		list = append(slices.Clone(list), &fleetpb.Evacuation{FailureDomain: domain, BegunMs: uint64(time.Now().UnixMilli())})
		slices.SortFunc(list, func(a, b *fleetpb.Evacuation) int { return strings.Compare(a.GetFailureDomain(), b.GetFailureDomain()) })
		return list
	})
}

// EndEvacuation takes an evacuation back, as Evacuate orders it.
func (c *Controller) EndEvacuation(ctx context.Context, domain string) error {
	return c.evacuate(ctx, domain, func(list []*fleetpb.Evacuation) []*fleetpb.Evacuation {
		return slices.DeleteFunc(slices.Clone(list), isOf(domain))
	})
}

func isOf(domain string) func(*fleetpb.Evacuation) bool {
	return func(e *fleetpb.Evacuation) bool { return e.GetFailureDomain() == domain }
}

// evacuate changes the evacuations in force.
func (c *Controller) evacuate(ctx context.Context, domain string, next func([]*fleetpb.Evacuation) []*fleetpb.Evacuation) error {
	if !slices.Contains(c.FailureDomains, domain) {
		return &UnknownDomainError{Name: domain}
	}
	_, err := c.Change(ctx, func(s *fleetpb.State) *fleetpb.State {
		list := next(s.GetEvacuations())
		if s.GetNumber() == 0 || len(list) == len(s.GetEvacuations()) {
			return nil
		}
		s.Evacuations = list
		return s
	})
	return err
}
