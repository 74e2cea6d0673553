// SPDX-License-Identifier: MIT

package routing

import iradix "github.com/hashicorp/go-immutable-radix/v2"

// radixIndex is an immutable index of messages of one kind with a hash of its
// content. Versions share unchanged nodes.
type radixIndex[M any] struct {
	tree *iradix.Tree[*radixEntry[M]]
	hash setHash
}

type radixEntry[M any] struct {
	message M
	// hash is that of the message's encoding as received.
	hash setHash
}

func newRadixIndex[M any]() radixIndex[M] { return radixIndex[M]{tree: iradix.New[*radixEntry[M]]()} }

func (l radixIndex[M]) get(key []byte) (m M, ok bool) {
	found, ok := l.tree.Get(key)
	if !ok {
		return m, false
	}
	return found.message, true
}

// each calls f for all entries in key order, until f returns false.
func (l radixIndex[M]) each(f func(key []byte, m M) bool) {
	l.tree.Root().Walk(func(key []byte, found *radixEntry[M]) bool { return !f(key, found.message) })
}

// radixTxn builds a modified copy of an index.
type radixTxn[M any] struct {
	txn  *iradix.Txn[*radixEntry[M]]
	hash setHash
}

func (l radixIndex[M]) begin() *radixTxn[M] { return &radixTxn[M]{txn: l.tree.Txn(), hash: l.hash} }

// put adds or replaces an entry, and reports whether anything changed.
func (d *radixTxn[M]) put(key []byte, m M, s setHash) bool {
	old, ok := d.txn.Get(key)
	if ok && old.hash == s {
		return false
	}
	if ok {
		d.hash.remove(old.hash)
	}
	d.hash.add(s)
	d.txn.Insert(key, &radixEntry[M]{message: m, hash: s})
	return true
}

// remove removes an entry if it exists.
func (d *radixTxn[M]) remove(key []byte) {
	if old, ok := d.txn.Delete(key); ok {
		d.hash.remove(old.hash)
	}
}

func (d *radixTxn[M]) commit() radixIndex[M] {
	return radixIndex[M]{tree: d.txn.Commit(), hash: d.hash}
}
