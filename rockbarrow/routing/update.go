// SPDX-License-Identifier: MIT

package routing

import (
	"bytes"
	"encoding/hex"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// BaseError says that a change does not begin with the table that it is applied to.
type BaseError struct{ want, got []byte }

// Error names the two tables.
func (e *BaseError) Error() string {
	return "routing: a change of table " + short(e.got) + " was applied to " + short(e.want)
}

// DigestError says that another table came out of a change than was named.
type DigestError struct{ want, got []byte }

// Error names the two tables.
func (e *DigestError) Error() string {
	return "routing: table " + short(e.got) + " came out where " + short(e.want) + " was named"
}

func short(digest []byte) string {
	if len(digest) == 0 {
		return "none"
	}
	return hex.EncodeToString(digest[:min(4, len(digest))])
}

// Update makes a table from another one, part by part of a change. It never alters the
// table that it began with. After an error it is of no further use.
type Update struct {
	before   *Table
	sum      sum
	routes   *iradix.Txn[*routeLeaf]
	services *iradix.Txn[*serviceLeaf]
}

// Begin starts an update of a table; a change without a base begins with nothing,
// whatever the table.
func (t *Table) Begin(base []byte) (*Update, error) {
	t = t.orEmpty()
	if len(base) == 0 {
		t = empty
	}
	if own := t.baseDigest(); !bytes.Equal(own, base) {
		return nil, &BaseError{want: own, got: base}
	}
	return &Update{before: t, sum: t.sum, routes: t.routes.Txn(), services: t.services.Txn()}, nil
}

// Add applies a part. It returns the table after the last one and nil before. The
// configuration was checked by who made the change; that the outcome is the same is what
// the digest shows.
func (u *Update) Add(part *fleetpb.TableChange) (*Table, error) {
	if own := u.before.baseDigest(); !bytes.Equal(own, part.GetBase()) {
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
	u.remove(part)
	if len(part.GetDigest()) == 0 {
		return nil, nil
	}
	return u.commit(part)
}

func (u *Update) putService(raw []byte) error {
	s := &fleetpb.Service{}
	if err := proto.Unmarshal(raw, s); err != nil {
		return errors.Wrap(err, "routing: a service of a change")
	}
	leaf := &serviceLeaf{service: s, sum: sumOf(serviceKind, raw)}
	if old, ok := u.services.Insert([]byte(s.GetName()), leaf); ok {
		u.sum.remove(old.sum)
	}
	u.sum.add(leaf.sum)
	return nil
}

func (u *Update) putRoute(raw []byte) error {
	r := &fleetpb.Route{}
	if err := proto.Unmarshal(raw, r); err != nil {
		return errors.Wrap(err, "routing: a route of a change")
	}
	leaf := &routeLeaf{route: r, sum: sumOf(routeKind, raw)}
	if old, ok := u.routes.Insert(routeKey(nil, strings.ToLower(r.GetHost()), r.GetPrefix()), leaf); ok {
		u.sum.remove(old.sum)
	}
	u.sum.add(leaf.sum)
	return nil
}

func (u *Update) remove(part *fleetpb.TableChange) {
	for _, name := range part.GetRemovedServices() {
		if old, ok := u.services.Delete([]byte(name)); ok {
			u.sum.remove(old.sum)
		}
	}
	for _, k := range part.GetRemovedRoutes() {
		if old, ok := u.routes.Delete(routeKey(nil, k.GetHost(), k.GetPrefix())); ok {
			u.sum.remove(old.sum)
		}
	}
}

func (u *Update) commit(last *fleetpb.TableChange) (*Table, error) {
	limits := &fleetpb.Limits{}
	if err := proto.Unmarshal(last.GetLimits(), limits); err != nil {
		return nil, errors.Wrap(err, "routing: the limits of a change")
	}
	t := &Table{
		version: last.GetVersion(), limits: limits, limitsRaw: last.GetLimits(),
		routes: u.routes.Commit(), services: u.services.Commit(), sum: u.sum,
	}
	if own := t.Digest(); !bytes.Equal(own, last.GetDigest()) {
		return nil, &DigestError{want: last.GetDigest(), got: own}
	}
	return t, nil
}

// partBytes is about how large the routes of one part are, before compression: 64 KB
// take 17 ms on a link of 30 Mbit/s.
const partBytes = 64 << 10

// Parts splits a change, so that a receiver sees progress and does not hold all of it.
func Parts(c *fleetpb.TableChange) []*fleetpb.TableChange {
	var out []*fleetpb.TableChange
	routes := c.GetRoutes()
	for {
		n, size := 0, 0
		for n < len(routes) && size < partBytes {
			size += len(routes[n])
			n++
		}
		part := &fleetpb.TableChange{Base: c.GetBase(), Routes: routes[:n]}
		if len(out) == 0 {
			part.Services, part.RemovedServices, part.RemovedRoutes = c.GetServices(), c.GetRemovedServices(), c.GetRemovedRoutes()
		}
		routes = routes[n:]
		out = append(out, part)
		if len(routes) == 0 {
			part.Version, part.Limits, part.Digest = c.GetVersion(), c.GetLimits(), c.GetDigest()
			return out
		}
	}
}

// Whole returns the change that makes this table of nothing.
func (t *Table) Whole() (*fleetpb.TableChange, error) {
	t = t.orEmpty()
	c := &fleetpb.TableChange{Version: t.version, Limits: t.limitsRaw, Digest: t.Digest()}
	var failed error
	t.services.Root().Walk(func(_ []byte, leaf *serviceLeaf) bool {
		raw, err := marshal(leaf.service)
		c.Services, failed = append(c.Services, raw), err
		return err != nil
	})
	t.routes.Root().Walk(func(_ []byte, leaf *routeLeaf) bool {
		if failed != nil {
			return true
		}
		raw, err := marshal(leaf.route)
		c.Routes, failed = append(c.Routes, raw), err
		return err != nil
	})
	return c, failed
}
