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

// confirmation returns the current configuration version and the age of its last confirmation by a
// majority, or nil if it was never confirmed.
func (c *Controller) confirmation() *fleetpb.Confirmed {
	s := c.State()
	if s.GetConfiguration() == nil {
		return nil
	}
	// Read the clock before the own vote, so that a pause in between cannot make the confirmation
	// look newer.
	requestedAt := time.Now()
	at, ok := c.watch.Confirm(s, c.savedRecord.Load().GetState().GetNumber(), requestedAt)
	if !ok {
		return nil
	}
	// Round up, so that the age is never understated.
	return &fleetpb.Confirmed{Version: s.GetConfiguration().GetVersion(), AgeUs: uint64(max(0, time.Since(at).Microseconds())) + 1}
}

// customerCounts returns the number of requests recently admitted per customer, or nil while no
// customers are known.
func (c *Controller) customerCounts(now time.Time) *fleetpb.CustomerCounts {
	t := c.tables.table()
	if t.CustomerCount() == 0 {
		return nil
	}
	return &fleetpb.CustomerCounts{Counts: c.quotas.Counts(now, t.CustomerByName)}
}

// Admit counts a customer's requests against its quota.
func (c *Controller) Admit(_ context.Context, req *fleetpb.AdmitRequest) (*fleetpb.AdmitReply, error) {
	customer := c.tables.table().CustomerByName(req.GetCustomer())
	if customer == nil {
		// The customer is not known yet, or was removed.
		return &fleetpb.AdmitReply{Unsure: true}, nil
	}
	switch d := c.quotas.AdmitRequest(time.Now(), customer, req).(type) {
	case quota.Granted:
		return &fleetpb.AdmitReply{Granted: true, Process: c.processID}, nil
	case quota.Refused:
		return &fleetpb.AdmitReply{RetryAfterMs: uint64(d.RetryAfter.Milliseconds()), Committed: d.Committed, Uncounted: d.Uncounted}, nil
	}
	return &fleetpb.AdmitReply{Unsure: true}, nil
}

const (
	// maxReportedCustomers limits the customers, and the keys per customer, in a report.
	maxReportedCustomers = 1000
	// keyDigestPrefix is the number of bytes of a key's digest shown to operators.
	keyDigestPrefix = 6
)

// Customers reports the quota usage of customers to operators.
func (c *Controller) Customers(context.Context, *fleetpb.CustomersRequest) (*fleetpb.CustomersReply, error) {
	now, t := time.Now(), c.tables.table()
	out := &fleetpb.CustomersReply{Version: t.Version()}
	t.EachCustomer(func(h routing.CustomerKeys) bool {
		if len(out.Customers) == maxReportedCustomers {
			out.LeftOut = uint32(t.CustomerCount() - maxReportedCustomers)
			return false
		}
		u := c.quotas.Usage(now, h.Customer)
		s := &fleetpb.CustomerStatus{
			Name: h.GetName(), Priority: h.GetPriority(), RequestsPerSecond: h.GetRequestsPerSecond(), Burst: h.GetBurst(),
			Requests: u.Requests, Limit: u.Limit, Refused: u.Refused, Committed: u.Committed,
		}
		for _, k := range h.Digests[:min(len(h.Digests), maxReportedCustomers)] {
			s.KeyDigests = append(s.KeyDigests, hex.EncodeToString(k[:keyDigestPrefix]))
		}
		out.Customers = append(out.Customers, s)
		return true
	})
	return out, nil
}
