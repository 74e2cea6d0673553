// SPDX-License-Identifier: MIT

package routing

import (
	"bytes"
	"crypto/sha256"
	"slices"
)

// keySize in bytes is what is kept of a key's digest. Two of 100,000 keys agree in it by chance once in
// 10^19 configurations.
const keySize = 12

// KeyDigest is the digest of a customer's key: what instances know of it. The first bytes of its SHA-256.
type KeyDigest [keySize]byte

// DigestKey returns the digest of a key.
func DigestKey(secret string) KeyDigest {
	digest := sha256.Sum256([]byte(secret))
	return KeyDigest(digest[:keySize])
}

const (
	// fanOut is the width of each of the two levels of an index of keys. A change of one key copies a node of
	// each level and one bucket, which holds 25 of 100,000 keys.
	fanOut     = 64
	fanOutBits = 6
)

// keyEntry is a key with its customer. It has no pointers, so that the collector passes it over.
type keyEntry struct {
	key KeyDigest
	// slot is the customer's place in the table's customers.
	slot uint32
}

// keyNode is a node of the lower level.
type keyNode [fanOut][]keyEntry

// keyIndex finds the customer of a key. It never changes: a [keyDraft] makes the next one, which shares with it
// what is the same. The zero value is empty.
type keyIndex struct {
	nodes [fanOut]*keyNode
	len   int
	// sum is that of all keys with the names of their customers.
	sum sum
}

func (k KeyDigest) place() (node, bucket int) {
	return int(k[0] >> (8 - fanOutBits)), int(k[1] >> (8 - fanOutBits))
}

// find returns the customer's slot of a key.
func (x *keyIndex) find(k KeyDigest) (slot uint32, ok bool) {
	node, bucket := k.place()
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

// each calls f with all keys.
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

// keyDraft is an index in the making.
type keyDraft struct {
	index keyIndex
	// own are the nodes, and ownBuckets the buckets, that were copied and may be written.
	own        [fanOut]bool
	ownBuckets map[[2]int]bool
}

func (x *keyIndex) draft() *keyDraft {
	return &keyDraft{index: *x, ownBuckets: map[[2]int]bool{}}
}

// bucket returns a bucket that may be written.
func (d *keyDraft) bucket(k KeyDigest) *[]keyEntry {
	node, bucket := k.place()
	if !d.own[node] {
		copied := &keyNode{}
		if before := d.index.nodes[node]; before != nil {
			*copied = *before
		}
		d.index.nodes[node], d.own[node] = copied, true
	}
	entries := &d.index.nodes[node][bucket]
	if at := [2]int{node, bucket}; !d.ownBuckets[at] {
		*entries = slices.Clone(*entries)
		d.ownBuckets[at] = true
	}
	return entries
}

// put adds a key, or gives it to another customer.
func (d *keyDraft) put(k KeyDigest, slot uint32, customers slots) {
	entries := d.bucket(k)
	at, ok := search(*entries, k)
	if ok {
		d.index.sum.remove(keySum(k, customers.name((*entries)[at].slot)))
		(*entries)[at].slot = slot
	} else {
		// Buckets have no room to spare, which would cost a third of the memory.
		grown := make([]keyEntry, len(*entries)+1)
		copy(grown, (*entries)[:at])
		grown[at] = keyEntry{key: k, slot: slot}
		copy(grown[at+1:], (*entries)[at:])
		*entries = grown
		d.index.len++
	}
	d.index.sum.add(keySum(k, customers.name(slot)))
}

// remove takes a key out, if that customer holds it.
func (d *keyDraft) remove(k KeyDigest, slot uint32, customers slots) {
	if held, ok := d.index.find(k); !ok || held != slot {
		return
	}
	entries := d.bucket(k)
	at, _ := search(*entries, k)
	*entries = slices.Delete(*entries, at, at+1)
	d.index.len--
	d.index.sum.remove(keySum(k, customers.name(slot)))
}

func keySum(k KeyDigest, customer string) sum { return sumOf(keyKind, append(k[:], customer...)) }
