// SPDX-License-Identifier: MIT

package document

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// List is a list of endpoints with its document. It does not change.
type List struct {
	list             *fleetpb.EndpointList
	document, digest []byte
}

// NewList makes the document of a list.
func NewList(l *fleetpb.EndpointList) (*List, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(l)
	if err != nil {
		return nil, errors.Wrap(err, "document: a list of endpoints")
	}
	return &List{list: l, document: b, digest: Digest(b)}, nil
}

// List returns the list, or nil.
func (l *List) List() *fleetpb.EndpointList {
	if l == nil {
		return nil
	}
	return l.list
}

// PackList keeps a list and returns it as a receiver needs it.
func (c *Cache) PackList(l *List, held *fleetpb.Held) *fleetpb.Packed {
	c.Put(l.document, l.digest)
	return c.Pack(l.document, l.digest, held)
}

// UnpackList makes a list of a message whole and keeps its document.
func (c *Cache) UnpackList(p *fleetpb.Packed) (*fleetpb.EndpointList, error) {
	b, err := c.Unpack(p)
	if err != nil {
		return nil, err
	}
	l := &fleetpb.EndpointList{}
	return l, errors.Wrap(proto.Unmarshal(b, l), "document: a list of endpoints")
}
