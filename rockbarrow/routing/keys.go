// SPDX-License-Identifier: MIT

package routing

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// keySize is the size in bytes of a truncated key digest. Two of 100,000 keys
// collide by chance once in 10^19 configurations.
const keySize = 12

// KeyDigest is the truncated SHA-256 of a customer's key.
type KeyDigest [keySize]byte

// DigestKey returns the digest of a key.
func DigestKey(secret string) KeyDigest {
	digest := sha256.Sum256([]byte(secret))
	return KeyDigest(digest[:keySize])
}

const (
	// fanOut is the width of both levels of a key index. Changing a key copies one
	// node of each level and one bucket, which holds about 25 of 100,000 keys.
	fanOut     = 64
	fanOutBits = 6
)

// keyEntry maps a key to its customer. It contains no pointers, so that the garbage collector skips it.
type keyEntry struct {
	key KeyDigest
	// slot is the customer's position in the table's slots.
	slot uint32
}

// keyNode is a node of the second level.
type keyNode [fanOut][]keyEntry

// keyIndex is an immutable map of keys to customers. Versions share unchanged
// nodes. The zero value is empty.
type keyIndex struct {
	nodes [fanOut]*keyNode
	len   int
	// hash covers all keys with the names of their customers.
	hash setHash
}

func (k KeyDigest) position() (node, bucket int) {
	return int(k[0] >> (8 - fanOutBits)), int(k[1] >> (8 - fanOutBits))
}

// find returns the slot of the customer that holds a key.
func (x *keyIndex) find(k KeyDigest) (slot uint32, ok bool) {
	node, bucket := k.position()
	if x.nodes[node] == nil {
		return 0, false
	}
	entries := x.nodes[node][bucket]
	at, ok := search(entries, k)
	if !ok {
		return 0, false
	}
	return entries[at].slot, true
}

func search(entries []keyEntry, k KeyDigest) (at int, ok bool) {
	return slices.BinarySearchFunc(entries, k, func(e keyEntry, k KeyDigest) int { return bytes.Compare(e.key[:], k[:]) })
}

// each calls f for all keys.
func (x *keyIndex) each(f func(k KeyDigest, slot uint32)) {
	for _, n := range x.nodes {
		if n == nil {
			continue
		}
		for _, entries := range n {
			for _, e := range entries {
				f(e.key, e.slot)
			}
		}
	}
}

// keyIndexTxn builds a modified copy of a key index.
type keyIndexTxn struct {
	index keyIndex
	// copiedNodes and copiedBuckets mark what has been copied and may be written.
	copiedNodes   [fanOut]bool
	copiedBuckets map[[2]int]bool
}

func (x *keyIndex) begin() *keyIndexTxn {
	return &keyIndexTxn{index: *x, copiedBuckets: map[[2]int]bool{}}
}

// bucket returns the writable bucket of a key.
func (d *keyIndexTxn) bucket(k KeyDigest) *[]keyEntry {
	node, bucket := k.position()
	if !d.copiedNodes[node] {
		copied := &keyNode{}
		if before := d.index.nodes[node]; before != nil {
			*copied = *before
		}
		d.index.nodes[node], d.copiedNodes[node] = copied, true
	}
	entries := &d.index.nodes[node][bucket]
	if at := [2]int{node, bucket}; !d.copiedBuckets[at] {
		*entries = slices.Clone(*entries)
		d.copiedBuckets[at] = true
	}
	return entries
}

// put adds a key, or moves it to another customer.
func (d *keyIndexTxn) put(k KeyDigest, slot uint32, customers slots) {
	entries := d.bucket(k)
	at, ok := search(*entries, k)
	if ok {
		d.index.hash.remove(hashKey(k, customers.name((*entries)[at].slot)))
		(*entries)[at].slot = slot
	} else {
		// Allocate the exact size: spare capacity would cost a third of the memory.
		grown := make([]keyEntry, len(*entries)+1)
		copy(grown, (*entries)[:at])
		grown[at] = keyEntry{key: k, slot: slot}
		copy(grown[at+1:], (*entries)[at:])
		*entries = grown
		d.index.len++
	}
	d.index.hash.add(hashKey(k, customers.name(slot)))
}

// remove removes a key if the customer in slot holds it.
func (d *keyIndexTxn) remove(k KeyDigest, slot uint32, customers slots) {
	if held, ok := d.index.find(k); !ok || held != slot {
		return
	}
	entries := d.bucket(k)
	at, _ := search(*entries, k)
	*entries = slices.Delete(*entries, at, at+1)
	d.index.len--
	d.index.hash.remove(hashKey(k, customers.name(slot)))
}

func hashKey(k KeyDigest, customer string) setHash {
	return hashElement(keyKind, append(k[:], customer...))
}
