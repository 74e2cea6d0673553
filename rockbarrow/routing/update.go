// SPDX-License-Identifier: MIT

package routing

import (
	"bytes"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// BaseError is returned if a change is based on another table than the one it is applied to.
type BaseError struct{ want, got []byte }

// Error names both tables.
func (e *BaseError) Error() string {
	return "routing: change is based on table " + shortDigest(e.got) + ", but table " + shortDigest(e.want) + " is held"
}

// DigestError is returned if applying a change yields another table than expected.
type DigestError struct{ want, got []byte }

// Error names both tables.
func (e *DigestError) Error() string {
	return "routing: change produced table " + shortDigest(e.got) + ", want " + shortDigest(e.want)
}

func shortDigest(digest []byte) string {
	if len(digest) == 0 {
		return "none"
	}
	return hex.EncodeToString(digest[:min(4, len(digest))])
}

// Update builds a table from a base table and the parts of a change. The base is not
// modified. After an error the update must be discarded.
type Update struct {
	base      *Table
	routes    *radixTxn[*fleetpb.Route]
	services  *radixTxn[*fleetpb.Service]
	customers *customersTxn
}

// BeginUpdate starts an update of t. An empty base starts from the empty table
// instead.
func (t *Table) BeginUpdate(base []byte) (*Update, error) {
	t = t.orEmpty()
	if len(base) == 0 {
		t = empty
	}
	if own := t.baseDigest(); !bytes.Equal(own, base) {
		return nil, &BaseError{want: own, got: base}
	}
	return &Update{base: t, routes: t.routes.begin(), services: t.services.begin(), customers: t.customers.begin()}, nil
}

// AddPart applies a part. It returns the table after the last part, and nil before.
// The sender has validated the configuration; the digest confirms that the result is
// the same.
func (u *Update) AddPart(part *fleetpb.TableChange) (*Table, error) {
	if own := u.base.baseDigest(); !bytes.Equal(own, part.GetBase()) {
		return nil, &BaseError{want: own, got: part.GetBase()}
	}
	for _, raw := range part.GetServices() {
		if err := u.putService(raw); err != nil {
			return nil, err
		}
	}
	for _, raw := range part.GetRoutes() {
		if err := u.putRoute(raw); err != nil {
			return nil, err
		}
	}
	if err := u.addCustomers(part); err != nil {
		return nil, err
	}
	u.remove(part)
	if len(part.GetDigest()) == 0 {
		return nil, nil
	}
	return u.commit(part)
}

func (u *Update) putService(raw []byte) error {
	s := &fleetpb.Service{}
	if err := proto.Unmarshal(raw, s); err != nil {
		return errors.Wrap(err, "routing: decode service")
	}
	u.services.put([]byte(s.GetName()), s, hashElement(serviceKind, raw))
	return nil
}

func (u *Update) putRoute(raw []byte) error {
	r := &fleetpb.Route{}
	if err := proto.Unmarshal(raw, r); err != nil {
		return errors.Wrap(err, "routing: decode route")
	}
	u.routes.put(routeKey(nil, strings.ToLower(r.GetHost()), r.GetPrefix()), r, hashElement(routeKind, raw))
	return nil
}

func (u *Update) remove(part *fleetpb.TableChange) {
	for _, name := range part.GetRemovedServices() {
		u.services.remove([]byte(name))
	}
	for _, k := range part.GetRemovedRoutes() {
		u.routes.remove(routeKey(nil, k.GetHost(), k.GetPrefix()))
	}
	for _, name := range part.GetRemovedCustomers() {
		u.customers.remove(name)
	}
}

func (u *Update) commit(last *fleetpb.TableChange) (*Table, error) {
	limits := &fleetpb.Limits{}
	if err := proto.Unmarshal(last.GetLimits(), limits); err != nil {
		return nil, errors.Wrap(err, "routing: decode limits")
	}
	t := &Table{
		version: last.GetVersion(), limits: limits, encodedLimits: last.GetLimits(),
		routes: u.routes.commit(), services: u.services.commit(), customers: u.customers.commit(),
	}
	if own := t.Digest(); !bytes.Equal(own, last.GetDigest()) {
		return nil, &DigestError{want: last.GetDigest(), got: own}
	}
	return t, nil
}

// targetPartBytes is the approximate size of a part before compression, small enough for slow links: 64 KB take 17 ms
// at 30 Mbit/s.
const targetPartBytes = 64 << 10

// SplitChange splits a change into parts, so that receivers can observe progress and
// need not hold all of it. Customers are added before their keys and removed after them.
func SplitChange(c *fleetpb.TableChange) []*fleetpb.TableChange {
	p := &partSplitter{base: c.GetBase()}
	p.startPart()
	p.last.Services, p.last.RemovedServices, p.last.RemovedRoutes = c.GetServices(), c.GetRemovedServices(), c.GetRemovedRoutes()
	for _, raw := range c.GetCustomers() {
		p.makeRoom(len(raw))
		p.last.Customers = append(p.last.Customers, raw)
	}
	for _, k := range c.GetKeys() {
		p.makeRoom(len(k.GetAdded()) + len(k.GetRemoved()))
		p.last.Keys = append(p.last.Keys, k)
	}
	for _, raw := range c.GetRoutes() {
		p.makeRoom(len(raw))
		p.last.Routes = append(p.last.Routes, raw)
	}
	p.last.RemovedCustomers = c.GetRemovedCustomers()
	p.last.Version, p.last.Limits, p.last.Digest = c.GetVersion(), c.GetLimits(), c.GetDigest()
	return p.all
}

// partSplitter collects the parts of a change.
type partSplitter struct {
	base []byte
	all  []*fleetpb.TableChange
	// last is the current part, and size its approximate size in bytes.
	last *fleetpb.TableChange
	size int
}

func (p *partSplitter) startPart() {
	p.last, p.size = &fleetpb.TableChange{Base: p.base}, 0
	p.all = append(p.all, p.last)
}

// makeRoom starts another part if the current one is full, and accounts for size more bytes.
func (p *partSplitter) makeRoom(size int) {
	if p.size >= targetPartBytes {
		p.startPart()
	}
	p.size += size
}

// Snapshot returns the change that builds t from the empty table.
func (t *Table) Snapshot() (*fleetpb.TableChange, error) {
	t = t.orEmpty()
	c := &fleetpb.TableChange{Version: t.version, Limits: t.encodedLimits, Digest: t.Digest()}
	var encodeErr error
	t.services.each(func(_ []byte, s *fleetpb.Service) bool {
		var raw []byte
		raw, encodeErr = marshal(s)
		c.Services = append(c.Services, raw)
		return encodeErr == nil
	})
	if encodeErr != nil {
		return nil, encodeErr
	}
	t.routes.each(func(_ []byte, r *fleetpb.Route) bool {
		var raw []byte
		raw, encodeErr = marshal(r)
		c.Routes = append(c.Routes, raw)
		return encodeErr == nil
	})
	if encodeErr != nil {
		return nil, encodeErr
	}
	return c, t.addCustomersTo(c)
}
