// SPDX-License-Identifier: MIT

package placement

import (
	"encoding/binary"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/schema/recordpb"
)

const (
	// maxPrefixes bounds the number of indexed prefixes.
	maxPrefixes = 65_536
	// maxEndpointsPerPrefix bounds the number of endpoints per prefix.
	maxEndpointsPerPrefix = 16
	// maxBoundariesSearched is how many of the longest prefixes of a prompt are
	// looked up, in addition to the first message, which runs often share.
	maxBoundariesSearched = 6
)

// Boundary is the end of a message within a prompt. It identifies the prefix up
// to there.
type Boundary struct {
	// Key is a chained hash of all messages in the prefix. Engines identify
	// prefixes by it.
	Key uint64 `json:"key"`
	// Tokens is the estimated length of the prefix.
	Tokens int64 `json:"tokens"`
}

// Boundaries returns the boundaries of a prompt, shortest first. The key of a
// boundary is the xxHash64 of the key before it (8 bytes, big endian, zero at
// the start), the role, a zero byte and the content.
func Boundaries(messages []*recordpb.Message) []Boundary {
	out := make([]Boundary, 0, len(messages))
	var prev Boundary
	for _, m := range messages {
		prev = NextBoundary(prev, m)
		out = append(out, prev)
	}
	return out
}

// NextBoundary returns the boundary after one more message.
func NextBoundary(prev Boundary, m *recordpb.Message) Boundary {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], prev.Key)
	var h xxhash.Digest
	h.Reset()
	h.Write(b[:])
	h.WriteString(m.GetRole())
	h.Write([]byte{0})
	h.WriteString(m.GetContent())
	return Boundary{Key: h.Sum64(), Tokens: prev.Tokens + int64(len(m.GetContent()))/4 + 4}
}

// PrefixIndex maps prefixes to the endpoints that have them cached. It is updated
// by the calls of this instance and by cache events from engines. Entries may be
// stale if events are lost, which affects only latency. The zero value is ready
// to use.
type PrefixIndex struct {
	entries sync.Map // uint64 to *prefixEntry
	size    atomic.Int64
	clock   atomic.Int64
}

// prefixEntry is immutable. Its endpoints are ordered from oldest to newest.
type prefixEntry struct {
	endpoints []string
	lastUsed  int64
}

// Find returns the longest cached prefix of a prompt at each endpoint, longest
// first.
func (p *PrefixIndex) Find(bounds []Boundary) []CachedPrefix {
	var out []CachedPrefix
	for n := len(bounds) - 1; n >= 0; n-- {
		if n > 0 && n < len(bounds)-maxBoundariesSearched {
			continue
		}
		v, ok := p.entries.Load(bounds[n].Key)
		if !ok {
			continue
		}
		for _, e := range v.(*prefixEntry).endpoints {
			if !slices.ContainsFunc(out, func(c CachedPrefix) bool { return c.Endpoint == e }) {
				out = append(out, CachedPrefix{Endpoint: e, Tokens: bounds[n].Tokens})
			}
		}
	}
	return out
}

// Add records that an endpoint has cached a prefix.
func (p *PrefixIndex) Add(key uint64, endpoint string) {
	now := p.clock.Add(1)
	for {
		v, ok := p.entries.Load(key)
		if !ok {
			if _, loaded := p.entries.LoadOrStore(key, &prefixEntry{endpoints: []string{endpoint}, lastUsed: now}); !loaded {
				p.recordInsert()
				return
			}
			continue
		}
		old := v.(*prefixEntry)
		list := slices.DeleteFunc(slices.Clone(old.endpoints), func(e string) bool { return e == endpoint })
		list = append(list, endpoint)
		if len(list) > maxEndpointsPerPrefix {
			list = list[1:]
		}
		if p.entries.CompareAndSwap(key, old, &prefixEntry{endpoints: list, lastUsed: now}) {
			return
		}
	}
}

// Remove records that an endpoint has evicted a prefix.
func (p *PrefixIndex) Remove(key uint64, endpoint string) {
	for {
		v, ok := p.entries.Load(key)
		if !ok {
			return
		}
		old := v.(*prefixEntry)
		list := slices.DeleteFunc(slices.Clone(old.endpoints), func(e string) bool { return e == endpoint })
		if len(list) == len(old.endpoints) {
			return
		}
		if len(list) == 0 {
			if p.entries.CompareAndDelete(key, old) {
				p.size.Add(-1)
				return
			}
			continue
		}
		if p.entries.CompareAndSwap(key, old, &prefixEntry{endpoints: list, lastUsed: old.lastUsed}) {
			return
		}
	}
}

// RemoveEndpoint removes an endpoint from all prefixes, as after its restart.
func (p *PrefixIndex) RemoveEndpoint(endpoint string) {
	p.entries.Range(func(k, _ any) bool {
		p.Remove(k.(uint64), endpoint)
		return true
	})
}

// recordInsert counts a new entry and removes the less recently used half of the entries
// when there are more than maxPrefixes.
func (p *PrefixIndex) recordInsert() {
	if p.size.Add(1) <= maxPrefixes {
		return
	}
	cut := p.clock.Load() - maxPrefixes/2
	p.entries.Range(func(k, v any) bool {
		if v.(*prefixEntry).lastUsed < cut && p.entries.CompareAndDelete(k, v) {
			p.size.Add(-1)
		}
		return true
	})
}
