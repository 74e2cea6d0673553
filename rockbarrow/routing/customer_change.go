// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// maxRequests bounds the rate and the burst of a quota.
const maxRequests = 1e9

// addCustomers validates the customers of a document and records their changes.
// Removed keys precede added ones, since a key may move between customers.
func (b *builder) addCustomers(list []*fleetpb.Customer) error {
	holders := map[KeyDigest]string{}
	for _, c := range list {
		if err := b.checkCustomer(c, holders); err != nil {
			return err
		}
		bare := &fleetpb.Customer{Name: c.GetName(), Priority: c.GetPriority(), RequestsPerSecond: c.GetRequestsPerSecond(), Burst: c.GetBurst()}
		raw, err := marshal(bare)
		if err != nil {
			return err
		}
		if b.customers.put(bare, raw) {
			b.change.Customers = append(b.change.Customers, raw)
		}
	}
	removed := keysByCustomer{}
	b.base.customers.keys.each(func(k KeyDigest, slot uint32) {
		if holder := b.base.customers.slots.name(slot); holders[k] != holder {
			removed[holder] = append(removed[holder], k[:]...)
		}
	})
	added := keysByCustomer{}
	for _, c := range list {
		for _, raw := range c.GetKeys() {
			k := KeyDigest(raw)
			if slot, ok := b.base.customers.keys.find(k); !ok || b.base.customers.slots.name(slot) != c.GetName() {
				added[c.GetName()] = append(added[c.GetName()], raw...)
			}
		}
	}
	b.change.Keys = append(removed.keyChanges(true), added.keyChanges(false)...)
	for _, c := range b.change.Keys {
		if err := b.customers.applyKeyChange(c); err != nil {
			return err
		}
	}
	return nil
}

// checkCustomer validates a customer and records the owners of its keys in holders.
func (b *builder) checkCustomer(c *fleetpb.Customer, holders map[KeyDigest]string) error {
	invalid := func(reason string) error { return &InvalidError{Customer: c.GetName(), Reason: reason} }
	switch {
	case c.GetName() == "":
		return &InvalidError{Reason: "a customer has no name"}
	case b.customerNames[c.GetName()]:
		return invalid("its name is used twice")
	case !(c.GetRequestsPerSecond() >= 0 && c.GetRequestsPerSecond() <= maxRequests):
		return invalid("its rate is not between 0 and 10^9")
	case !(c.GetBurst() >= 0 && c.GetBurst() <= maxRequests):
		return invalid("its burst is not between 0 and 10^9")
	}
	b.customerNames[c.GetName()] = true
	for i, raw := range c.GetKeys() {
		if len(raw) != keySize {
			return invalid(fmt.Sprintf("its key number %d is empty", i+1))
		}
		if other, ok := holders[KeyDigest(raw)]; ok {
			return invalid(fmt.Sprintf("its key number %d is also a key of customer %q", i+1, other))
		}
		holders[KeyDigest(raw)] = c.GetName()
	}
	return nil
}

// removeCustomers removes the customers that the document no longer contains.
func (b *builder) removeCustomers() {
	b.base.customers.byName.each(func(key []byte, _ uint32) bool {
		if name := string(key); !b.customerNames[name] {
			b.customers.remove(name)
			b.change.RemovedCustomers = append(b.change.RemovedCustomers, name)
		}
		return true
	})
}

// keysByCustomer maps customers to their concatenated key digests.
type keysByCustomer map[string][]byte

// maxKeysPerChange bounds the keys in one change, so that parts of a table stay small.
const maxKeysPerChange = 2048

// keyChanges returns the changes that add or remove the keys.
func (l keysByCustomer) keyChanges(remove bool) []*fleetpb.KeyChange {
	var out []*fleetpb.KeyChange
	for name, keys := range l {
		for len(keys) > 0 {
			n := min(len(keys), maxKeysPerChange*keySize)
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

// addCustomers applies the new and changed customers and keys of a part.
func (u *Update) addCustomers(part *fleetpb.TableChange) error {
	for _, raw := range part.GetCustomers() {
		c := &fleetpb.Customer{}
		if err := proto.Unmarshal(raw, c); err != nil {
			return errors.Wrap(err, "routing: decode customer")
		}
		u.customers.put(c, raw)
	}
	for _, k := range part.GetKeys() {
		if err := u.customers.applyKeyChange(k); err != nil {
			return err
		}
	}
	return nil
}

// addCustomersTo adds all customers and keys to a change.
func (t *Table) addCustomersTo(c *fleetpb.TableChange) error {
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
	added := keysByCustomer{}
	t.customers.keys.each(func(k KeyDigest, slot uint32) {
		name := t.customers.slots.name(slot)
		added[name] = append(added[name], k[:]...)
	})
	c.Keys = added.keyChanges(false)
	return nil
}
