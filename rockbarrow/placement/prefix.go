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
	// maxPrefixes bounds the known prefixes of an instance.
	maxPrefixes = 65_536
	// maxHolders bounds the endpoints remembered for one prefix.
	maxHolders = 16
	// lookBack is how many of the longest boundaries are looked up, besides the
	// first one, which runs share.
	lookBack = 6
)

// Boundary is the end of a message within a prompt.
type Boundary struct {
	// Key chains over all messages up to here; engines name prefixes by it.
	Key uint64 `json:"key"`
	// Tokens is the estimated size up to here.
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

// Append returns the boundary after one more message.
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

// Prefixes remembers which endpoints hold which prefixes. It is told by own
// dispatches and by cache events; when events were lost the knowledge is
// doubtful, which costs time and nothing else. The zero value is ready.
type PrefixIndex struct {
	known sync.Map // of uint64 to *holders
	size  atomic.Int64
	clock atomic.Int64
}

// holders is an immutable list, newest last.
type holders struct {
	endpoints []string
	used      int64
}

// Find returns what each endpoint holds of a prompt, the longest first.
func (p *PrefixIndex) Find(bounds []Boundary) []CachedPrefix {
	var out []CachedPrefix
	for n := len(bounds) - 1; n >= 0; n-- {
		if n > 0 && n < len(bounds)-lookBack {
			continue
		}
		v, ok := p.known.Load(bounds[n].Key)
		if !ok {
			continue
		}
		for _, e := range v.(*holders).endpoints {
			if !slices.ContainsFunc(out, func(h CachedPrefix) bool { return h.Endpoint == e }) {
				out = append(out, CachedPrefix{Endpoint: e, Tokens: bounds[n].Tokens})
			}
		}
	}
	return out
}

// Add records that an endpoint holds a prefix.
func (p *PrefixIndex) Add(key uint64, endpoint string) {
	now := p.clock.Add(1)
	for {
		v, ok := p.known.Load(key)
		if !ok {
			if _, loaded := p.known.LoadOrStore(key, &holders{endpoints: []string{endpoint}, used: now}); !loaded {
				p.grown()
				return
			}
			continue
		}
		old := v.(*holders)
		list := slices.DeleteFunc(slices.Clone(old.endpoints), func(e string) bool { return e == endpoint })
		list = append(list, endpoint)
		if len(list) > maxHolders {
			list = list[1:]
		}
		if p.known.CompareAndSwap(key, old, &holders{endpoints: list, used: now}) {
			return
		}
	}
}

// Drop records that an endpoint no longer holds a prefix.
func (p *PrefixIndex) Remove(key uint64, endpoint string) {
	for {
		v, ok := p.known.Load(key)
		if !ok {
			return
		}
		old := v.(*holders)
		list := slices.DeleteFunc(slices.Clone(old.endpoints), func(e string) bool { return e == endpoint })
		if len(list) == len(old.endpoints) {
			return
		}
		if len(list) == 0 {
			if p.known.CompareAndDelete(key, old) {
				p.size.Add(-1)
				return
			}
			continue
		}
		if p.known.CompareAndSwap(key, old, &holders{endpoints: list, used: old.used}) {
			return
		}
	}
}

// Forget drops all that an endpoint held, when it restarted.
func (p *PrefixIndex) RemoveEndpoint(endpoint string) {
	p.known.Range(func(k, _ any) bool {
		p.Remove(k.(uint64), endpoint)
		return true
	})
}

// grown drops the half used longest ago once the bound is passed.
func (p *PrefixIndex) grown() {
	if p.size.Add(1) <= maxPrefixes {
		return
	}
	cut := p.clock.Load() - maxPrefixes/2
	p.known.Range(func(k, v any) bool {
		if v.(*holders).used < cut && p.known.CompareAndDelete(k, v) {
			p.size.Add(-1)
		}
		return true
	})
}
