// SPDX-License-Identifier: MIT

package document

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// List is an immutable list of endpoints with its encoding.
type List struct {
	list             *fleetpb.EndpointList
	document, digest []byte
}

// NewList encodes a list.
func NewList(l *fleetpb.EndpointList) (*List, error) {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(l)
	if err != nil {
		return nil, errors.Wrap(err, "document: encode list of endpoints")
	}
	return &List{list: l, document: b, digest: Digest(b)}, nil
}

// List returns the list, or nil if l is nil.
func (l *List) List() *fleetpb.EndpointList {
	if l == nil {
		return nil
	}
	return l.list
}

// PackList adds a list and encodes it for a receiver that holds the given documents.
func (c *Cache) PackList(l *List, held *fleetpb.Held) *fleetpb.Packed {
	c.Put(l.document, l.digest)
	return c.Pack(l.document, l.digest, held)
}

// UnpackList decodes a list and adds its document.
func (c *Cache) UnpackList(p *fleetpb.Packed) (*fleetpb.EndpointList, error) {
	b, err := c.Unpack(p)
	if err != nil {
		return nil, err
	}
	l := &fleetpb.EndpointList{}
	return l, errors.Wrap(proto.Unmarshal(b, l), "document: decode list of endpoints")
}
