// SPDX-License-Identifier: MIT

package document

import (
	"bytes"
	"encoding/hex"
	"slices"
	"sync"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// kept is how many documents a cache keeps by default, and tells of: the one in
	// force and the one accepted or met before it. Senders keep more, for receivers
	// that lag.
	kept = 2
	// keptDifferences is how many differences a cache keeps. All receivers that hold
	// the same document want the same one, within one round trip.
	keptDifferences = 8
)

// BaseError says that a document can't be made whole, because its base is not held.
type BaseError struct{ base, document []byte }

// Error names the two documents.
func (e *BaseError) Error() string {
	return "document: " + short(e.document) + " needs " + short(e.base) + ", which is not held"
}

// DigestError says that a document is not the one that was named.
type DigestError struct{ want, got []byte }

// Error names the two documents.
func (e *DigestError) Error() string {
	return "document: " + short(e.got) + " came where " + short(e.want) + " was named"
}

func short(digest []byte) string {
	if len(digest) == 0 {
		return "none"
	}
	return hex.EncodeToString(digest[:min(4, len(digest))])
}

// Cache is the documents that a process has met lately. The zero value is ready and
// keeps two. It is safe for concurrent use.
type Cache struct {
	// Capacity is how many documents it keeps; zero means two.
	Capacity int
	// Log is told of differences that can't be made; nil is nobody.
	Log *logrus.Entry

	mu sync.Mutex
	// documents are whole, the newest last.
	documents []named
	// differences were made lately, the newest last.
	differences []made
}

type named struct{ digest, document []byte }

type made struct{ base, digest, frame []byte }

// AddState keeps the document of a state, which may be nil. To a state of version 0.2.0, which
// has no digest, it gives one; no one else may have such a state yet.
func (c *Cache) AddState(st *fleetpb.State) {
	cfg := st.GetConfiguration()
	if len(cfg.GetDocument()) == 0 {
		return
	}
	if len(cfg.GetDigest()) == 0 {
		cfg.Digest = Digest(cfg.GetDocument())
	}
	c.Put(cfg.GetDocument(), cfg.GetDigest())
}

// Put keeps a document.
func (c *Cache) Put(document, digest []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.index(digest); i >= 0 {
		n := c.documents[i]
		c.documents = append(slices.Delete(c.documents, i, i+1), n)
		return
	}
	c.documents = append(c.documents, named{digest: digest, document: document})
	keep := c.Capacity
	if keep == 0 {
		keep = kept
	}
	if len(c.documents) > keep {
		c.documents = slices.Delete(c.documents, 0, 1)
	}
}

func (c *Cache) index(digest []byte) int {
	return slices.IndexFunc(c.documents, func(n named) bool { return bytes.Equal(n.digest, digest) })
}

// Held tells a sender what this cache holds.
func (c *Cache) Held() *fleetpb.Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &fleetpb.Held{}
	for _, n := range c.documents[max(0, len(c.documents)-kept):] {
		h.Digests = append(h.Digests, n.digest)
	}
	return h
}

// Pack returns a document as a receiver needs it that has told what it holds: nil if it
// understands whole documents only.
func (c *Cache) Pack(document, digest []byte, held *fleetpb.Held) *fleetpb.Packed {
	whole := &fleetpb.Packed{Document: document, Digest: digest}
	if held == nil || len(document) == 0 || len(digest) == 0 {
		return whole
	}
	if holds(held, digest) {
		return &fleetpb.Packed{Digest: digest}
	}
	base, frame, err := c.frame(document, digest, held)
	if err != nil {
		if c.Log != nil {
			c.Log.WithError(err).Warn("a document is sent whole")
		}
		return whole
	}
	return &fleetpb.Packed{Digest: digest, Base: base, Difference: frame}
}

func holds(h *fleetpb.Held, digest []byte) bool {
	return slices.ContainsFunc(h.GetDigests(), func(d []byte) bool { return bytes.Equal(d, digest) })
}

// frame returns a difference against a document that is held on both sides, the newest
// first, or against nothing.
func (c *Cache) frame(document, digest []byte, held *fleetpb.Held) (base, frame []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var common named
	for _, n := range slices.Backward(c.documents) {
		if holds(held, n.digest) {
			common = n
			break
		}
	}
	for _, m := range c.differences {
		if bytes.Equal(m.base, common.digest) && bytes.Equal(m.digest, digest) {
			return m.base, m.frame, nil
		}
	}
	frame, err = difference(common.document, document)
	if err != nil {
		return nil, nil, err
	}
	c.differences = append(c.differences, made{base: common.digest, digest: digest, frame: frame})
	if len(c.differences) > keptDifferences {
		c.differences = slices.Delete(c.differences, 0, 1)
	}
	return common.digest, frame, nil
}

// Unpack makes a document whole and keeps it. After an error the sender has to be asked
// for it whole.
func (c *Cache) Unpack(p *fleetpb.Packed) ([]byte, error) {
	document, err := c.whole(p)
	if err != nil {
		return nil, err
	}
	digest := Digest(document)
	if len(p.GetDigest()) > 0 && !bytes.Equal(digest, p.GetDigest()) {
		return nil, &DigestError{want: p.GetDigest(), got: digest}
	}
	c.Put(document, digest)
	return document, nil
}

func (c *Cache) whole(p *fleetpb.Packed) ([]byte, error) {
	if len(p.GetDocument()) > 0 {
		return p.GetDocument(), nil
	}
	if len(p.GetDigest()) == 0 {
		return nil, &BaseError{}
	}
	// It may have come from elsewhere since the sender was told what is held.
	if d, ok := c.get(p.GetDigest()); ok {
		return d, nil
	}
	if len(p.GetDifference()) == 0 {
		return nil, &BaseError{base: p.GetDigest(), document: p.GetDigest()}
	}
	base, ok := c.get(p.GetBase())
	if !ok {
		return nil, &BaseError{base: p.GetBase(), document: p.GetDigest()}
	}
	return unfold(base, p.GetDifference())
}

// get returns a document that is held; no digest names the empty one.
func (c *Cache) get(digest []byte) ([]byte, bool) {
	if len(digest) == 0 {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.index(digest); i >= 0 {
		return c.documents[i].document, true
	}
	return nil, false
}
