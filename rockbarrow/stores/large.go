// SPDX-License-Identifier: MIT

package stores

import (
	"sync"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// maxStreamedReply in bytes is the size of reservations up to which a program's
	// calls are sent on the stream, as for calls, so that the replies to others do not
	// wait behind large ones.
	maxStreamedReply = maxStreamedCall
	// maxLargePrograms bounds the remembered programs.
	maxLargePrograms = 1024
)

// largePrograms remembers programs whose last reply was large. The zero value is
// ready to use.
type largePrograms struct {
	mu  sync.Mutex
	lru *lru.LRU[string, struct{}]
}

// record notes the reply to a reservation of a program.
func (l *largePrograms) record(program string, r *fleetpb.ReserveReply) {
	large := isLarge(r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if large && l.lru == nil {
		l.lru, _ = lru.NewLRU[string, struct{}](maxLargePrograms, nil) // fails only for a size below 1
	}
	switch {
	case large:
		l.lru.Add(program, struct{}{})
	case l.lru != nil:
		l.lru.Remove(program)
	}
}

// has reports whether a program's last reply was large.
func (l *largePrograms) has(program string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lru == nil {
		return false
	}
	_, ok := l.lru.Get(program)
	return ok
}

// isLarge reports whether the reservations of a reply exceed maxStreamedReply. It takes
// no longer for larger ones. The chain is not counted: calls for it are never streamed.
func isLarge(r *fleetpb.ReserveReply) bool {
	n := 0
	for _, x := range r.GetReservations() {
		if n += proto.Size(x); n > maxStreamedReply {
			return true
		}
	}
	return false
}
