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

// CustomerUse is how many requests of a customer were let in here since the process began.
type CustomerUse struct {
	Customer string
	Requests uint64
}

// customersTold is what one process of a control instance has been told of customers. A process that has just started
// is told of all requests within the window of quotas.
type customersTold struct {
	process uint64
	counts  map[string]uint64
}

// customerUses puts into a request what its receiver lacks, and returns what it will have been told then.
func (t *target) customerUses(req *fleetpb.WatchRequest) map[string]uint64 {
	if t.client.CustomerUses == nil {
		return nil
	}
	whole := t.customers.counts == nil
	next := map[string]uint64{}
	for _, u := range t.client.CustomerUses(t.address, false) {
		next[u.Customer] = u.Requests
		if n := u.Requests - min(u.Requests, t.customers.counts[u.Customer]); n > 0 && !whole {
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

// toldCustomers notes what a process of the instance has been told. Another process than before knows no more
// than that one message.
func (t *target) toldCustomers(counts map[string]uint64, process uint64) {
	if t.customers.counts != nil && process != t.customers.process {
		counts = nil
	}
	t.customers = customersTold{process: process, counts: counts}
}

const (
	// admitWithin bounds a question to one control instance, which takes a round trip between failure domains
	// (3 ms at the most) and the scheduling of its process.
	admitWithin = 120 * time.Millisecond
	// admitTries is how many control instances are asked one after the other.
	admitTries = 2
)

// Admit asks a control instance to let requests of a customer in, and returns which one answered. All senders ask the
// same one about a customer while they hear the same ones.
func (c *Client) Admit(ctx context.Context, req *fleetpb.AdmitRequest) (control string, reply *fleetpb.AdmitReply, err error) {
	err = errors.New("watch: no control instance is heard")
	for _, address := range c.counters(req.GetCustomer(), time.Now()) {
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
	ctx, cancel := context.WithTimeout(ctx, admitWithin)
	defer cancel()
	return fleetpb.NewControlClient(conn).Admit(ctx, req)
}

// counters returns the control instances to ask about a customer, in the order in which they are asked.
func (c *Client) counters(customer string, now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []string
	for _, t := range c.targets {
		if t.answered && now.Sub(t.lastAnswer) < silentAfter {
			out = append(out, t.address)
		}
	}
	rank := func(address string) uint64 { return xxhash.Sum64String(address + "\x00" + customer) }
	slices.SortFunc(out, func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return out[:min(len(out), admitTries)]
}
