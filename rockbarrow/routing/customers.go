// SPDX-License-Identifier: MIT

package routing

import (
	"fmt"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// most is the largest rate and burst of a quota: more is a mistake of the operator.
const most = 1e9

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

// Customer returns who holds a key.
func (t *Table) Customer(k Key) (c *fleetpb.Customer, ok bool) {
	slot, ok := t.customers.keys.find(k)
	if !ok {
		return nil, false
	}
	return t.customers.slots[slot], true
}

// CustomerNamed returns a customer by name, or nil.
func (t *Table) CustomerNamed(name string) *fleetpb.Customer {
	t = t.orEmpty()
	slot, ok := t.customers.byName.get([]byte(name))
	if !ok {
		return nil
	}
	return t.customers.slots[slot]
}

// Customers returns the number of customers.
func (t *Table) Customers() int { return t.orEmpty().customers.byName.tree.Len() }

// Keys returns the number of keys.
func (t *Table) Keys() int { return t.orEmpty().customers.keys.len }

// Held is a customer with the digests of its keys.
type Held struct {
	*fleetpb.Customer
	Digests []Key
}

// EachCustomer calls f with all customers in the order of their names, until it returns false. The work goes with the
// number of all keys.
func (t *Table) EachCustomer(f func(Held) bool) {
	t = t.orEmpty()
	digests := make([][]Key, len(t.customers.slots))
	t.customers.keys.each(func(k Key, slot uint32) { digests[slot] = append(digests[slot], k) })
	t.customers.byName.each(func(_ []byte, slot uint32) bool {
		return f(Held{Customer: t.customers.slots[slot], Digests: digests[slot]})
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
		d.keys.remove(Key(b[:keySize]), slot, d.slots)
	}
	for b := c.GetAdded(); len(b) > 0; b = b[keySize:] {
		d.keys.put(Key(b[:keySize]), slot, d.slots)
	}
	return nil
}

// takeCustomers checks the customers of a document and notes what changes about them. Keys that are taken
// away come before keys that are added, since a key may move to another customer.
func (n *next) takeCustomers(list []*fleetpb.Customer) error {
	holders := map[Key]string{}
	for _, c := range list {
		if err := n.checkCustomer(c, holders); err != nil {
			return err
		}
		bare := &fleetpb.Customer{Name: c.GetName(), Priority: c.GetPriority(), RatePerSecond: c.GetRatePerSecond(), Burst: c.GetBurst()}
		raw, err := marshal(bare)
		if err != nil {
			return err
		}
		if n.customers.put(bare, raw) {
			n.change.Customers = append(n.change.Customers, raw)
		}
	}
	removed := keyLists{}
	n.before.customers.keys.each(func(k Key, slot uint32) {
		if holder := n.before.customers.slots.name(slot); holders[k] != holder {
			removed[holder] = append(removed[holder], k[:]...)
		}
	})
	added := keyLists{}
	for _, c := range list {
		for _, raw := range c.GetKeys() {
			k := Key(raw)
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
func (n *next) checkCustomer(c *fleetpb.Customer, holders map[Key]string) error {
	invalid := func(reason string) error { return &InvalidError{Customer: c.GetName(), Reason: reason} }
	switch {
	case c.GetName() == "":
		return &InvalidError{Reason: "a customer has no name"}
	case n.holders[c.GetName()]:
		return invalid("it stands there twice")
	case !(c.GetRatePerSecond() >= 0 && c.GetRatePerSecond() <= most):
		return invalid("its rate is not between 0 and 10^9")
	case !(c.GetBurst() >= 0 && c.GetBurst() <= most):
		return invalid("its burst is not between 0 and 10^9")
	}
	n.holders[c.GetName()] = true
	for i, raw := range c.GetKeys() {
		if len(raw) != keySize {
			return invalid(fmt.Sprintf("its key number %d is empty", i+1))
		}
		if other, ok := holders[Key(raw)]; ok {
			return invalid(fmt.Sprintf("its key number %d is also held by customer %q", i+1, other))
		}
		holders[Key(raw)] = c.GetName()
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
	t.customers.keys.each(func(k Key, slot uint32) {
		name := t.customers.slots.name(slot)
		added[name] = append(added[name], k[:]...)
	})
	c.Keys = added.changes(false)
	return nil
}
