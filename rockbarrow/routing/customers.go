// SPDX-License-Identifier: MIT

package routing

import (
	"github.com/pkg/errors"

	"rockbarrow.dev/schema/fleetpb"
)

// slots are the customers of a table by the number that its index of keys knows them by. A slot whose customer
// was taken out is nil and is used again.
type slots []*fleetpb.Customer

func (s slots) name(slot uint32) string { return s[slot].GetName() }

// customers is who holds keys. It never changes: a [customersDraft] makes the next one.
type customers struct {
	// byName holds the slot of each customer; its sum is that of the customers without their keys.
	byName layer[uint32]
	slots  slots
	keys   keyIndex
}

func newCustomers() customers { return customers{byName: newLayer[uint32]()} }

// sums returns what the table's digest is made of, nothing if there are no customers: the digest of
// a table without any is the same as that of a version that knows of none.
func (c *customers) sums() []sum {
	if c.byName.tree.Len() == 0 {
		return nil
	}
	return []sum{c.byName.sum, c.keys.sum}
}

// CustomerByKey returns who holds a key.
func (t *Table) CustomerByKey(k KeyDigest) (c *fleetpb.Customer, ok bool) {
	slot, ok := t.customers.keys.find(k)
	if !ok {
		return nil, false
	}
	return t.customers.slots[slot], true
}

// CustomerByName returns a customer by name, or nil.
func (t *Table) CustomerByName(name string) *fleetpb.Customer {
	t = t.orEmpty()
	slot, ok := t.customers.byName.get([]byte(name))
	if !ok {
		return nil
	}
	return t.customers.slots[slot]
}

// CustomerCount returns the number of customers.
func (t *Table) CustomerCount() int { return t.orEmpty().customers.byName.tree.Len() }

// KeyCount returns the number of keys.
func (t *Table) KeyCount() int { return t.orEmpty().customers.keys.len }

// CustomerKeys is a customer with the digests of its keys.
type CustomerKeys struct {
	*fleetpb.Customer
	Digests []KeyDigest
}

// EachCustomer calls f with all customers in the order of their names, until it returns false. The work goes with the
// number of all keys.
func (t *Table) EachCustomer(f func(CustomerKeys) bool) {
	t = t.orEmpty()
	digests := make([][]KeyDigest, len(t.customers.slots))
	t.customers.keys.each(func(k KeyDigest, slot uint32) { digests[slot] = append(digests[slot], k) })
	t.customers.byName.each(func(_ []byte, slot uint32) bool {
		return f(CustomerKeys{Customer: t.customers.slots[slot], Digests: digests[slot]})
	})
}

// customersDraft is customers in the making.
type customersDraft struct {
	byName *draft[uint32]
	slots  slots
	copied bool
	free   []uint32
	keys   *keyDraft
}

func (c *customers) draft() *customersDraft {
	return &customersDraft{byName: c.byName.draft(), slots: c.slots, keys: c.keys.draft()}
}

func (d *customersDraft) commit() customers {
	return customers{byName: d.byName.commit(), slots: d.slots, keys: d.keys.index}
}

// own copies the slots before they are written.
func (d *customersDraft) own() {
	if d.copied {
		return
	}
	d.copied = true
	d.slots = append(slots(nil), d.slots...)
	for slot, c := range d.slots {
		if c == nil {
			d.free = append(d.free, uint32(slot))
		}
	}
}

// put adds a customer or replaces the one of its name, without its keys. It reports whether that changed anything.
func (d *customersDraft) put(c *fleetpb.Customer, raw []byte) bool {
	name := []byte(c.GetName())
	slot, known := d.slot(c.GetName())
	if !known {
		d.own()
		slot = uint32(len(d.slots))
		if n := len(d.free); n > 0 {
			slot, d.free = d.free[n-1], d.free[:n-1]
		} else {
			d.slots = append(d.slots, nil)
		}
	}
	if !d.byName.put(name, slot, sumOf(customerKind, raw)) {
		return false
	}
	d.own()
	d.slots[slot] = c
	return true
}

func (d *customersDraft) slot(name string) (slot uint32, ok bool) {
	found, ok := d.byName.txn.Get([]byte(name))
	if !ok {
		return 0, false
	}
	return found.message, true
}

// remove takes a customer out. Its keys must be out before.
func (d *customersDraft) remove(name string) {
	slot, ok := d.slot(name)
	if !ok {
		return
	}
	d.own()
	d.byName.remove([]byte(name))
	d.slots[slot] = nil
	d.free = append(d.free, slot)
}

// change applies a change of one customer's keys.
func (d *customersDraft) change(c *fleetpb.KeyChange) error {
	slot, ok := d.slot(c.GetCustomer())
	if !ok {
		return errors.Errorf("routing: keys of customer %q, which is not known", c.GetCustomer())
	}
	if len(c.GetAdded())%keySize != 0 || len(c.GetRemoved())%keySize != 0 {
		return errors.Errorf("routing: keys of customer %q are cut off", c.GetCustomer())
	}
	for b := c.GetRemoved(); len(b) > 0; b = b[keySize:] {
		d.keys.remove(KeyDigest(b[:keySize]), slot, d.slots)
	}
	for b := c.GetAdded(); len(b) > 0; b = b[keySize:] {
		d.keys.put(KeyDigest(b[:keySize]), slot, d.slots)
	}
	return nil
}
