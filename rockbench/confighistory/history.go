// SPDX-License-Identifier: MIT

// Package confighistory judges a run by what is promised of configurations. For its operators the deployment is a register that holds one
// configuration: a change replaces it if its version is higher, and a read at any instance returns it. Requests are handled by a version that
// may be in force: acknowledged long enough before, and not older than one whose effect was seen.
//
// Calls and requests are collected while the run lasts, and judged together after it. A call without a clear answer may have taken effect at any
// time since it was sent, or never.
package confighistory

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"sync"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/platform/wire"
)

// digest identifies the text of a document.
type digest [sha256.Size]byte

// History collects calls and requests. The zero value is ready to use.
type History struct {
	// Changes are the configurations that were sent.
	Changes Changes

	mu      sync.Mutex
	answers []Answer
	// begun is the time of the first call; times count from it.
	begun time.Time
	calls []call
	// versions holds the version of each valid document that was sent, and invalid tells of each other one why no instance may
	// accept it.
	versions map[digest]uint64
	invalid  map[digest]string
}

// call is one call, without the text of its document.
type call struct {
	address     string
	sent, ended time.Duration
	status      int
	operation   operation
}

// operation is [replace] or [read].
type operation interface{ operation() }

// replace sends a document.
type replace struct {
	document digest
	version  uint64
	// invalid tells why no instance may accept the document, empty if it is valid.
	invalid string
}

// read returned a document; damage tells why its text is none.
type read struct {
	document digest
	version  uint64
	damage   error
}

func (replace) operation() {}
func (read) operation()    {}

// Add adds a call that has ended. Reads without an answer tell nothing and are left out.
func (h *History) Add(c standin.OperatorCall) {
	if c.Read && c.Status != http.StatusOK {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.begun.IsZero() {
		h.begun, h.versions, h.invalid = c.Sent, map[digest]uint64{}, map[digest]string{}
	}
	out := call{address: c.Address, sent: c.Sent.Sub(h.begun), ended: c.Ended.Sub(h.begun), status: c.Status}
	if c.Read {
		out.operation = h.readOf(c.Response)
	} else {
		out.operation = h.replaceOf(c)
	}
	h.calls = append(h.calls, out)
}

// readOf decodes a document that was read, unless it was sent as it is. The caller holds mu.
func (h *History) readOf(text []byte) read {
	r := read{document: sha256.Sum256(text)}
	version, known := h.versions[r.document]
	if known {
		r.version = version
		return r
	}
	d, err := wire.DecodeNewDocument(text)
	r.version, r.damage = d.GetVersion(), err
	return r
}

// replaceOf records a document that was sent. The caller holds mu.
func (h *History) replaceOf(c standin.OperatorCall) replace {
	r := replace{document: sha256.Sum256(c.Document), version: c.Version, invalid: c.Invalid}
	if c.Invalid != "" {
		h.invalid[r.document] = c.Invalid
	} else {
		h.versions[r.document] = c.Version
	}
	return r
}

// Len returns the number of calls that tell something.
func (h *History) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

// Verdict is what came of a history.
type Verdict struct {
	// Violations tells of each promise that was broken.
	Violations []string
	// Undecided is true if the search for an order of all calls took too long; what it would have shown is not known.
	Undecided bool
	Seen      Seen
}

// Judge judges the calls and requests made so far. It takes up to a time for the search for an order of them.
func (h *History) Judge(within time.Duration) Verdict {
	h.mu.Lock()
	defer h.mu.Unlock()
	var v Verdict
	add := func(format string, args ...any) { v.Violations = append(v.Violations, fmt.Sprintf(format, args...)) }
	h.checkReplaces(add)
	h.checkReads(add)
	single := len(v.Violations) == 0
	v.Seen = h.checkAnswers(add)
	if !single {
		// What is wrong by itself has no order.
		return v
	}
	ordered, undecided := h.isOrdered(within)
	v.Undecided = undecided
	if !ordered && !undecided {
		add("no order of the %d operators' calls explains what they returned", len(h.calls))
	}
	return v
}

// checkReplaces looks for invalid documents that were acknowledged, and valid ones that were refused for good.
func (h *History) checkReplaces(add func(string, ...any)) {
	for _, c := range h.calls {
		r, ok := c.operation.(replace)
		switch {
		case !ok:
		case r.invalid != "" && c.status == http.StatusOK:
			add("%s acknowledged an invalid configuration at %v: %s", c.address, c.sent, r.invalid)
		case r.invalid == "" && c.status != http.StatusOK && standin.IsFinal(c.status):
			add("%s refused a valid configuration of version %d with %d at %v", c.address, r.version, c.status, c.sent)
		}
	}
}

// checkReads looks for reads of what was not sent, of several documents of one version, and of versions below one that was
// acknowledged before.
func (h *History) checkReads(add func(string, ...any)) {
	of := map[uint64]digest{}
	for _, c := range h.calls {
		r, ok := c.operation.(read)
		if !ok {
			continue
		}
		if newest := h.acknowledgedBefore(c.sent); r.damage == nil && r.version < newest {
			add("%s returned version %d at %v, after %d had been acknowledged", c.address, r.version, c.sent, newest)
		}
		_, sent := h.versions[r.document]
		other, known := of[r.version]
		switch {
		case h.invalid[r.document] != "":
			add("%s returned an invalid configuration at %v: %s", c.address, c.sent, h.invalid[r.document])
		case r.damage != nil:
			add("%s returned a configuration that is not readable at %v: %v", c.address, c.sent, r.damage)
		case !sent:
			add("%s returned version %d at %v with content that was not sent", c.address, r.version, c.sent)
		case known && other != r.document:
			add("%s returned version %d at %v with other content than an earlier read", c.address, r.version, c.sent)
		default:
			of[r.version] = r.document
		}
	}
}

// acknowledgedBefore returns the highest version whose acknowledgement had arrived by a time.
func (h *History) acknowledgedBefore(at time.Duration) (newest uint64) {
	for _, c := range h.calls {
		if r, ok := c.operation.(replace); ok && r.invalid == "" && c.status == http.StatusOK && c.ended < at {
			newest = max(newest, r.version)
		}
	}
	return newest
}
