// SPDX-License-Identifier: MIT

package watch

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"rockbarrow.dev/schema/fleetpb"
)

// CustomerUse is the number of requests admitted for a customer, since the process
// started or within the window of quotas.
type CustomerUse struct {
	Customer string
	Requests uint64
}

// customerReport is what a process of a control instance has been told of admitted
// requests. A process that has just started is told of all requests within the
// window of quotas.
type customerReport struct {
	process uint64
	counts  map[string]uint64
}

// addCustomerUses adds the uses that the receiver lacks to a request, and returns
// the counts that it will know afterwards.
func (t *target) addCustomerUses(req *fleetpb.WatchRequest) map[string]uint64 {
	if t.client.CustomerUses == nil {
		return nil
	}
	whole := t.customerReport.counts == nil
	next := map[string]uint64{}
	for _, u := range t.client.CustomerUses(t.address, false) {
		next[u.Customer] = u.Requests
		if n := u.Requests - min(u.Requests, t.customerReport.counts[u.Customer]); n > 0 && !whole {
			req.CustomerUses = append(req.CustomerUses, &fleetpb.CustomerUse{Customer: u.Customer, Requests: uint32(n)})
		}
	}
	if whole {
		for _, u := range t.client.CustomerUses(t.address, true) {
			req.CustomerUses = append(req.CustomerUses, &fleetpb.CustomerUse{Customer: u.Customer, Requests: uint32(u.Requests), Earlier: true})
		}
	}
	return next
}

// recordCustomerUses records what a process of the control instance has been told.
// After a restart, the instance must be told of the whole window again.
func (t *target) recordCustomerUses(counts map[string]uint64, process uint64) {
	if t.customerReport.counts != nil && process != t.customerReport.process {
		counts = nil
	}
	t.customerReport = customerReport{process: process, counts: counts}
}

const (
	// admitTimeout bounds one Admit call: a round trip between failure domains (at most 3 ms) and
	// the scheduling of the control instance's process.
	admitTimeout = 120 * time.Millisecond
	// maxAdmitAttempts is how many control instances are asked in turn.
	maxAdmitAttempts = 2
)

// Admit asks a control instance to admit requests of a customer, and returns the
// address of the one that answered. All senders that reach the same control
// instances ask the same one about a customer.
func (c *Client) Admit(ctx context.Context, req *fleetpb.AdmitRequest) (control string, reply *fleetpb.AdmitReply, err error) {
	err = errors.New("watch: no control instance is reachable")
	for _, address := range c.admitOrder(req.GetCustomer(), time.Now()) {
		reply, err = c.admit(ctx, address, req)
		if err == nil {
			return address, reply, nil
		}
	}
	return "", nil, err
}

func (c *Client) admit(ctx context.Context, address string, req *fleetpb.AdmitRequest) (*fleetpb.AdmitReply, error) {
	conn, err := c.Pool.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, admitTimeout)
	defer cancel()
	return fleetpb.NewControlClient(conn).Admit(ctx, req)
}

// admitOrder returns the control instances to ask about a customer, in order.
func (c *Client) admitOrder(customer string, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, t := range c.targets {
		if t.answered && now.Sub(t.lastAnswer) < unreachableAfter {
			out = append(out, t.address)
		}
	}
	rank := func(address string) uint64 { return xxhash.Sum64String(address + "\x00" + customer) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return out[:min(len(out), maxAdmitAttempts)]
}
