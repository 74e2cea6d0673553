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
	// defaultCapacity is how many documents a cache keeps by default and reports in
	// Held: the one in force and its predecessor. Senders keep more, for receivers
	// that lag.
	defaultCapacity = 2
	// maxDifferences is how many differences a cache keeps. Receivers that hold the
	// same document request the same difference at about the same time.
	maxDifferences = 8
)

// BaseError is returned if a document cannot be decoded because its base is not held.
type BaseError struct{ base, document []byte }

// Error names both documents.
func (e *BaseError) Error() string {
	return "document: base " + shortDigest(e.base) + " of " + shortDigest(e.document) + " is not held"
}

// DigestError is returned if a document's digest does not match.
type DigestError struct{ want, got []byte }

// Error names both documents.
func (e *DigestError) Error() string {
	return "document: digest is " + shortDigest(e.got) + ", want " + shortDigest(e.want)
}

func shortDigest(digest []byte) string {
	if len(digest) == 0 {
		return "none"
	}
	return hex.EncodeToString(digest[:min(4, len(digest))])
}

// Cache holds the documents that a process has used recently. The zero value is
// ready for use. It is safe for concurrent use.
type Cache struct {
	// Capacity is the number of documents to keep; zero means two.
	Capacity int
	// Log receives failures to compute a difference; may be nil.
	Log *logrus.Entry

	mu sync.Mutex
	// documents are ordered from oldest to newest.
	documents []entry
	// differences are cached encodings, ordered from oldest to newest.
	differences []diffEntry
}

// form is a form of documents. A base is only of use to documents of its own form.
type form int

const (
	// asSent is a document as its sender wrote it.
	asSent form = iota
	// decoded is the decoded form of a configuration.
	decoded
	forms
)

type entry struct {
	form             form
	digest, document []byte
}

type diffEntry struct{ base, digest, frame []byte }

// AddState adds the document of a state, which may be nil, and its decoded form. It sets
// the digest if it is missing, as in states of version 0.2.0; such a state must not be
// shared yet.
func (c *Cache) AddState(st *fleetpb.State) {
	cfg := st.GetConfiguration()
	if len(cfg.GetDocument()) == 0 {
		return
	}
	if len(cfg.GetDigest()) == 0 {
		cfg.Digest = Digest(cfg.GetDocument())
	}
	c.Put(cfg.GetDocument(), cfg.GetDigest())
	if d := cfg.GetDecoded(); len(d.GetDocument()) > 0 {
		c.put(decoded, d.GetDocument(), d.GetDigest())
	}
}

// Put adds a document, or marks it as the newest.
func (c *Cache) Put(document, digest []byte) { c.put(asSent, document, digest) }

func (c *Cache) put(f form, document, digest []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.indexOf(digest); i >= 0 {
		n := c.documents[i]
		c.documents = append(slices.Delete(c.documents, i, i+1), n)
		return
	}
	c.documents = append(c.documents, entry{form: f, digest: digest, document: document})
	capacity := c.Capacity
	if capacity == 0 {
		capacity = defaultCapacity
	}
	if of := c.indexesOf(f); len(of) > capacity {
		c.documents = slices.Delete(c.documents, of[0], of[0]+1)
	}
}

// indexesOf returns the indexes of the documents of a form.
func (c *Cache) indexesOf(f form) []int {
	var out []int
	for i, n := range c.documents {
		if n.form == f {
			out = append(out, i)
		}
	}
	return out
}

func (c *Cache) indexOf(digest []byte) int {
	return slices.IndexFunc(c.documents, func(n entry) bool { return bytes.Equal(n.digest, digest) })
}

// Held returns the digests that a sender needs to choose a base.
func (c *Cache) Held() *fleetpb.Held {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &fleetpb.Held{Decoded: true}
	for f := range forms {
		of := c.indexesOf(f)
		for _, i := range of[max(0, len(of)-defaultCapacity):] {
			h.Digests = append(h.Digests, c.documents[i].digest)
		}
	}
	return h
}

// Pack encodes a document for a receiver that holds the given documents. A nil held
// means that the receiver supports whole documents only.
func (c *Cache) Pack(document, digest []byte, held *fleetpb.Held) *fleetpb.Packed {
	return c.pack(asSent, document, digest, held)
}

func (c *Cache) pack(f form, document, digest []byte, held *fleetpb.Held) *fleetpb.Packed {
	whole := &fleetpb.Packed{Document: document, Digest: digest}
	if held == nil || len(document) == 0 || len(digest) == 0 {
		return whole
	}
	if holdsDigest(held, digest) {
		return &fleetpb.Packed{Digest: digest}
	}
	base, frame, err := c.differenceFor(f, document, digest, held)
	if err != nil {
		if c.Log != nil {
			c.Log.WithError(err).Warn("computing a difference failed, sending the whole document")
		}
		return whole
	}
	return &fleetpb.Packed{Digest: digest, Base: base, Difference: frame}
}

func holdsDigest(h *fleetpb.Held, digest []byte) bool {
	return slices.ContainsFunc(h.GetDigests(), func(d []byte) bool { return bytes.Equal(d, digest) })
}

// differenceFor returns a difference against the newest document of a form that both
// sides hold, or against nothing.
func (c *Cache) differenceFor(f form, document, digest []byte, held *fleetpb.Held) (base, frame []byte, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var common entry
	for _, n := range slices.Backward(c.documents) {
		if n.form == f && holdsDigest(held, n.digest) {
			common = n
			break
		}
	}
	for _, m := range c.differences {
		if bytes.Equal(m.base, common.digest) && bytes.Equal(m.digest, digest) {
			return m.base, m.frame, nil
		}
	}
	frame, err = compressWithBase(common.document, document)
	if err != nil {
		return nil, nil, err
	}
	c.differences = append(c.differences, diffEntry{base: common.digest, digest: digest, frame: frame})
	if len(c.differences) > maxDifferences {
		c.differences = slices.Delete(c.differences, 0, 1)
	}
	return common.digest, frame, nil
}

// Unpack decodes a document and adds it. After an error the whole document must be
// requested from the sender.
func (c *Cache) Unpack(p *fleetpb.Packed) ([]byte, error) { return c.unpack(asSent, p) }

func (c *Cache) unpack(f form, p *fleetpb.Packed) ([]byte, error) {
	document, err := c.resolve(p)
	if err != nil {
		return nil, err
	}
	digest := Digest(document)
	if len(p.GetDigest()) > 0 && !bytes.Equal(digest, p.GetDigest()) {
		return nil, &DigestError{want: p.GetDigest(), got: digest}
	}
	c.put(f, document, digest)
	return document, nil
}

func (c *Cache) resolve(p *fleetpb.Packed) ([]byte, error) {
	if len(p.GetDocument()) > 0 {
		return p.GetDocument(), nil
	}
	if len(p.GetDigest()) == 0 {
		return nil, &BaseError{}
	}
	// The document may have arrived from another sender in the meantime.
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
	return decompressWithBase(base, p.GetDifference())
}

// get returns a held document; an empty digest stands for the empty document.
func (c *Cache) get(digest []byte) ([]byte, bool) {
	if len(digest) == 0 {
		return nil, true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := c.indexOf(digest); i >= 0 {
		return c.documents[i].document, true
	}
	return nil, false
}
