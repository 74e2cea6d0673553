// SPDX-License-Identifier: MIT

package routing

import (
	"crypto/sha256"
	"encoding/binary"
)

// sum is a digest of a set: the sum of its members' SHA-256, in four lanes of 64 bits. A
// member is added or removed without the others. It finds mistakes; it withstands nobody
// who makes up configurations to fool it, which only operators send.
type sum [4]uint64

// Members of different kinds never have the same digest.
const (
	routeKind    = 'r'
	serviceKind  = 's'
	customerKind = 'c'
	keyKind      = 'k'
)

func sumOf(kind byte, raw []byte) sum {
	h := sha256.New()
	h.Write([]byte{kind})
	h.Write(raw)
	digest := h.Sum(nil)
	var s sum
	for i := range s {
		s[i] = binary.BigEndian.Uint64(digest[8*i:])
	}
	return s
}

func (s *sum) add(o sum) {
	for i := range s {
		s[i] += o[i]
	}
}

func (s *sum) remove(o sum) {
	for i := range s {
		s[i] -= o[i]
	}
}

// Digest names the table's content: equal tables have equal digests. Instances of
// different versions compare them, so that it is part of the protocol between them.
func (t *Table) Digest() []byte {
	t = t.orEmpty()
	b := binary.BigEndian.AppendUint64(nil, t.version)
	for _, s := range append([]sum{t.routes.sum, t.services.sum}, t.customers.sums()...) {
		for _, lane := range s {
			b = binary.BigEndian.AppendUint64(b, lane)
		}
	}
	digest := sha256.Sum256(append(b, t.limitsRaw...))
	return digest[:]
}

// baseDigest is the digest as a change's base: none for a table of nothing.
func (t *Table) baseDigest() []byte {
	if t.orEmpty() == empty {
		return nil
	}
	return t.Digest()
}
