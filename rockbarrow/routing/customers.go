// SPDX-License-Identifier: MIT

package routing

import (
	"github.com/pkg/errors"

	"rockbarrow.dev/schema/fleetpb"
)

// slots are the customers of a table, at the positions that the key index refers
// to. The slot of a removed customer is nil and is reused.
type slots []*fleetpb.Customer

func (s slots) name(slot uint32) string { return s[slot].GetName() }

// customers is an immutable set of customers with an index of their keys.
type customers struct {
	// byName maps names to slots; its hash covers the customers without their keys.
	byName radixIndex[uint32]
	slots  slots
	keys   keyIndex
}

func newCustomers() customers { return customers{byName: newRadixIndex[uint32]()} }

// hashes returns the hashes that enter the table's digest. There are none without
// customers, so that versions that do not support customers compute the same digest.
func (c *customers) hashes() []setHash {
	if c.byName.tree.Len() == 0 {
		return nil
	}
	return []setHash{c.byName.hash, c.keys.hash}
}

// CustomerByKey returns the customer that holds a key.
func (t *Table) CustomerByKey(k KeyDigest) (c *fleetpb.Customer, ok bool) {
	slot, ok := t.customers.keys.find(k)
	if !ok {
		return nil, false
	}
	return t.customers.slots[slot], true
}

// CustomerByName returns the customer with the given name, or nil.
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

// EachCustomer calls f for all customers in the order of their names, until f
// returns false. It takes time proportional to the number of all keys.
func (t *Table) EachCustomer(f func(CustomerKeys) bool) {
	t = t.orEmpty()
	digests := make([][]KeyDigest, len(t.customers.slots))
	t.customers.keys.each(func(k KeyDigest, slot uint32) { digests[slot] = append(digests[slot], k) })
	t.customers.byName.each(func(_ []byte, slot uint32) bool {
		return f(CustomerKeys{Customer: t.customers.slots[slot], Digests: digests[slot]})
	})
}

// customersTxn builds a modified copy of customers.
type customersTxn struct {
	byName *radixTxn[uint32]
	slots  slots
	copied bool
	free   []uint32
	keys   *keyIndexTxn
}

func (c *customers) begin() *customersTxn {
	return &customersTxn{byName: c.byName.begin(), slots: c.slots, keys: c.keys.begin()}
}

func (d *customersTxn) commit() customers {
	return customers{byName: d.byName.commit(), slots: d.slots, keys: d.keys.index}
}

// copySlots copies the slots before the first write.
func (d *customersTxn) copySlots() {
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

// put adds or replaces a customer without its keys, and reports whether anything changed.
func (d *customersTxn) put(c *fleetpb.Customer, raw []byte) bool {
	name := []byte(c.GetName())
	slot, known := d.slot(c.GetName())
	if !known {
		d.copySlots()
		slot = uint32(len(d.slots))
		if n := len(d.free); n > 0 {
			slot, d.free = d.free[n-1], d.free[:n-1]
		} else {
			d.slots = append(d.slots, nil)
		}
	}
	if !d.byName.put(name, slot, hashElement(customerKind, raw)) {
		return false
	}
	d.copySlots()
	d.slots[slot] = c
	return true
}

func (d *customersTxn) slot(name string) (slot uint32, ok bool) {
	found, ok := d.byName.txn.Get([]byte(name))
	if !ok {
		return 0, false
	}
	return found.message, true
}

// remove removes a customer. Its keys must have been removed before.
func (d *customersTxn) remove(name string) {
	slot, ok := d.slot(name)
	if !ok {
		return
	}
	d.copySlots()
	d.byName.remove([]byte(name))
	d.slots[slot] = nil
	d.free = append(d.free, slot)
}

// applyKeyChange applies a change to one customer's keys.
func (d *customersTxn) applyKeyChange(c *fleetpb.KeyChange) error {
	slot, ok := d.slot(c.GetCustomer())
	if !ok {
		return errors.Errorf("routing: key change for customer %q, which is not known", c.GetCustomer())
	}
	if len(c.GetAdded())%keySize != 0 || len(c.GetRemoved())%keySize != 0 {
		return errors.Errorf("routing: truncated keys of customer %q", c.GetCustomer())
	}
	for b := c.GetRemoved(); len(b) > 0; b = b[keySize:] {
		d.keys.remove(KeyDigest(b[:keySize]), slot, d.slots)
	}
	for b := c.GetAdded(); len(b) > 0; b = b[keySize:] {
		d.keys.put(KeyDigest(b[:keySize]), slot, d.slots)
	}
	return nil
}
