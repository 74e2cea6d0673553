// SPDX-License-Identifier: MIT

package routing

import iradix "github.com/hashicorp/go-immutable-radix/v2"

// layer holds the entries of one kind by key. It never changes: a [draft] makes the next
// one, which shares with it what is the same.
type layer[M any] struct {
	tree *iradix.Tree[*leaf[M]]
	sum  sum
}

type leaf[M any] struct {
	message M
	// sum is that of the message's encoding, as it came.
	sum sum
}

func newLayer[M any]() layer[M] { return layer[M]{tree: iradix.New[*leaf[M]]()} }

func (l layer[M]) get(key []byte) (m M, ok bool) {
	found, ok := l.tree.Get(key)
	if !ok {
		return m, false
	}
	return found.message, true
}

// each calls f with all entries, in the order of their keys, until it returns false.
func (l layer[M]) each(f func(key []byte, m M) bool) {
	l.tree.Root().Walk(func(key []byte, found *leaf[M]) bool { return !f(key, found.message) })
}

// draft is a layer in the making.
type draft[M any] struct {
	txn *iradix.Txn[*leaf[M]]
	sum sum
}

func (l layer[M]) draft() *draft[M] { return &draft[M]{txn: l.tree.Txn(), sum: l.sum} }

// put adds an entry or replaces the one under its key. It reports whether that changed
// anything.
func (d *draft[M]) put(key []byte, m M, s sum) bool {
	old, ok := d.txn.Get(key)
	if ok && old.sum == s {
		return false
	}
	if ok {
		d.sum.remove(old.sum)
	}
	d.sum.add(s)
	d.txn.Insert(key, &leaf[M]{message: m, sum: s})
	return true
}

// remove takes an entry out, if there is one.
func (d *draft[M]) remove(key []byte) {
	if old, ok := d.txn.Delete(key); ok {
		d.sum.remove(old.sum)
	}
}

func (d *draft[M]) commit() layer[M] { return layer[M]{tree: d.txn.Commit(), sum: d.sum} }
