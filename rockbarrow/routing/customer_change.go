// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// mostRequests is the largest rate and burst of a quota: more is a mistake of the operator.
const mostRequests = 1e9

// takeCustomers checks the customers of a document and notes what changes about them. Keys that are taken
// away come before keys that are added, since a key may move to another customer.
func (n *next) takeCustomers(list []*fleetpb.Customer) error {
	holders := map[KeyDigest]string{}
	for _, c := range list {
		if err := n.checkCustomer(c, holders); err != nil {
			return err
		}
		bare := &fleetpb.Customer{Name: c.GetName(), Priority: c.GetPriority(), RequestsPerSecond: c.GetRequestsPerSecond(), Burst: c.GetBurst()}
		raw, err := marshal(bare)
		if err != nil {
			return err
		}
		if n.customers.put(bare, raw) {
			n.change.Customers = append(n.change.Customers, raw)
		}
	}
	removed := keyLists{}
	n.before.customers.keys.each(func(k KeyDigest, slot uint32) {
		if holder := n.before.customers.slots.name(slot); holders[k] != holder {
			removed[holder] = append(removed[holder], k[:]...)
		}
	})
	added := keyLists{}
	for _, c := range list {
		for _, raw := range c.GetKeys() {
			k := KeyDigest(raw)
			if slot, ok := n.before.customers.keys.find(k); !ok || n.before.customers.slots.name(slot) != c.GetName() {
				added[c.GetName()] = append(added[c.GetName()], raw...)
			}
		}
	}
	n.change.Keys = append(removed.changes(true), added.changes(false)...)
	for _, c := range n.change.Keys {
		if err := n.customers.change(c); err != nil {
			return err
		}
	}
	return nil
}

// checkCustomer reports what makes a customer invalid, and notes its keys.
func (n *next) checkCustomer(c *fleetpb.Customer, holders map[KeyDigest]string) error {
	invalid := func(reason string) error { return &InvalidError{Customer: c.GetName(), Reason: reason} }
	switch {
	case c.GetName() == "":
		return &InvalidError{Reason: "a customer has no name"}
	case n.holders[c.GetName()]:
		return invalid("it stands there twice")
	case !(c.GetRequestsPerSecond() >= 0 && c.GetRequestsPerSecond() <= mostRequests):
		return invalid("its rate is not between 0 and 10^9")
	case !(c.GetBurst() >= 0 && c.GetBurst() <= mostRequests):
		return invalid("its burst is not between 0 and 10^9")
	}
	n.holders[c.GetName()] = true
	for i, raw := range c.GetKeys() {
		if len(raw) != keySize {
			return invalid(fmt.Sprintf("its key number %d is empty", i+1))
		}
		if other, ok := holders[KeyDigest(raw)]; ok {
			return invalid(fmt.Sprintf("its key number %d is also held by customer %q", i+1, other))
		}
		holders[KeyDigest(raw)] = c.GetName()
	}
	return nil
}

// dropCustomers takes out what the document does not name any more.
func (n *next) dropCustomers() {
	n.before.customers.byName.each(func(key []byte, _ uint32) bool {
		if name := string(key); !n.holders[name] {
			n.customers.remove(name)
			n.change.RemovedCustomers = append(n.change.RemovedCustomers, name)
		}
		return true
	})
}

// keyLists are digests, one after the other, by customer.
type keyLists map[string][]byte

// keysAtOnce is how many keys one change holds, so that parts of a table stay small.
const keysAtOnce = 2048

// changes returns the changes that add or remove these keys.
func (l keyLists) changes(remove bool) []*fleetpb.KeyChange {
	var out []*fleetpb.KeyChange
	for name, keys := range l {
		for len(keys) > 0 {
			n := min(len(keys), keysAtOnce*keySize)
			c := &fleetpb.KeyChange{Customer: name, Added: keys[:n]}
			if remove {
				c.Added, c.Removed = nil, keys[:n]
			}
			out = append(out, c)
			keys = keys[n:]
		}
	}
	return out
}

// addCustomers applies what a part of a change says of customers, but for those that are taken out.
func (u *Update) addCustomers(part *fleetpb.TableChange) error {
	for _, raw := range part.GetCustomers() {
		c := &fleetpb.Customer{}
		if err := proto.Unmarshal(raw, c); err != nil {
			return errors.Wrap(err, "routing: a customer of a change")
		}
		u.customers.put(c, raw)
	}
	for _, k := range part.GetKeys() {
		if err := u.customers.change(k); err != nil {
			return err
		}
	}
	return nil
}

// wholeCustomers puts all customers and keys into a change.
func (t *Table) wholeCustomers(c *fleetpb.TableChange) error {
	for _, customer := range t.customers.slots {
		if customer == nil {
			continue
		}
		raw, err := marshal(customer)
		if err != nil {
			return err
		}
		c.Customers = append(c.Customers, raw)
	}
	added := keyLists{}
	t.customers.keys.each(func(k KeyDigest, slot uint32) {
		name := t.customers.slots.name(slot)
		added[name] = append(added[name], k[:]...)
	})
	c.Keys = added.changes(false)
	return nil
}
