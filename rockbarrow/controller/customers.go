// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"encoding/hex"
	"time"

	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/schema/fleetpb"
)

// confirmed tells up to when the newest configuration is known, or nil if the voters have not confirmed it.
func (c *Controller) confirmed() *fleetpb.Confirmed {
	s := c.State()
	if s.GetConfiguration() == nil {
		return nil
	}
	// The clock is read first: this process may stand still before it looks at its own vote.
	asked := time.Now()
	at, ok := c.watch.Confirm(s, c.saved.Load().GetState().GetNumber(), asked)
	if !ok {
		return nil
	}
	// A microsecond more than was rounded off.
	return &fleetpb.Confirmed{Version: s.GetConfiguration().GetVersion(), AgeUs: uint64(max(0, time.Since(at).Microseconds())) + 1}
}

// customerCounts tells entry instances how many requests of each customer were let in lately, or nil while that is
// not known.
func (c *Controller) customerCounts(now time.Time) *fleetpb.CustomerCounts {
	t := c.tables.table()
	if t.CustomerCount() == 0 {
		return nil
	}
	return &fleetpb.CustomerCounts{Counts: c.quotas.Counts(now, t.CustomerByName)}
}

// Admit counts requests of a customer against its quota.
func (c *Controller) Admit(_ context.Context, req *fleetpb.AdmitRequest) (*fleetpb.AdmitReply, error) {
	customer := c.tables.table().CustomerByName(req.GetCustomer())
	if customer == nil {
		// It is not known here yet, or not any more.
		return &fleetpb.AdmitReply{Unsure: true}, nil
	}
	switch d := c.quotas.Admit(time.Now(), customer, req.GetRequests(), req.GetNewProgram()).(type) {
	case quota.Granted:
		return &fleetpb.AdmitReply{Granted: true}, nil
	case quota.Refused:
		return &fleetpb.AdmitReply{RetryAfterMs: uint64(d.RetryAfter.Milliseconds())}, nil
	}
	return &fleetpb.AdmitReply{Unsure: true}, nil
}

const (
	// mostTold is how many customers, and keys of each, operators are told of.
	mostTold = 1000
	// shownBytes of a key's digest tell it from others.
	shownBytes = 6
)

// Customers tells operators of customers.
func (c *Controller) Customers(context.Context, *fleetpb.CustomersRequest) (*fleetpb.CustomersReply, error) {
	now, t := time.Now(), c.tables.table()
	out := &fleetpb.CustomersReply{Version: t.Version()}
	t.EachCustomer(func(h routing.CustomerKeys) bool {
		if len(out.Customers) == mostTold {
			out.LeftOut = uint32(t.CustomerCount() - mostTold)
			return false
		}
		u := c.quotas.Usage(now, h.Customer)
		s := &fleetpb.CustomerStatus{
			Name: h.GetName(), Priority: h.GetPriority(), RequestsPerSecond: h.GetRequestsPerSecond(), Burst: h.GetBurst(),
			Requests: u.Requests, Limit: u.Limit, Refused: u.Refused,
		}
		for _, k := range h.Digests[:min(len(h.Digests), mostTold)] {
			s.KeyDigests = append(s.KeyDigests, hex.EncodeToString(k[:shownBytes]))
		}
		out.Customers = append(out.Customers, s)
		return true
	})
	return out, nil
}
