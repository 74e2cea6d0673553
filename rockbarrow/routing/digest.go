// SPDX-License-Identifier: MIT

package routing

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// setHash is the hash of a set: the lane-wise sum of its elements' SHA-256. Elements
// can be added and removed incrementally. It detects errors but not deliberate
// collisions; configurations come only from operators.
type setHash [4]uint64

// Kinds separate the hashes of elements of different types.
const (
	routeKind    = 'r'
	serviceKind  = 's'
	customerKind = 'c'
	keyKind      = 'k'
)

func hashElement(kind byte, raw []byte) setHash {
	h := sha256.New()
	h.Write([]byte{kind})
	h.Write(raw)
	digest := h.Sum(nil)
	var s setHash
	for i := range s {
		s[i] = binary.BigEndian.Uint64(digest[8*i:])
	}
	return s
}

func (s *setHash) add(o setHash) {
	for i := range s {
		s[i] += o[i]
	}
}

func (s *setHash) remove(o setHash) {
	for i := range s {
		s[i] -= o[i]
	}
}

// Digest identifies the table's content: equal tables have equal digests. It is part
// of the protocol between instances, which may run different versions.
func (t *Table) Digest() []byte {
	t = t.orEmpty()
	b := binary.BigEndian.AppendUint64(nil, t.version)
	for _, s := range append([]setHash{t.routes.hash, t.services.hash}, t.customers.hashes()...) {
		for _, lane := range s {
			b = binary.BigEndian.AppendUint64(b, lane)
		}
	}
	digest := sha256.Sum256(append(b, t.encodedLimits...))
	return digest[:]
}

// ShortDigest returns the beginning of the digest, for logs.
func (t *Table) ShortDigest() string {
	const shown = 4
	return hex.EncodeToString(t.Digest()[:shown])
}

// baseDigest returns the digest that names t as a change's base, nil for the empty table.
func (t *Table) baseDigest() []byte {
	if t.orEmpty() == empty {
		return nil
	}
	return t.Digest()
}
