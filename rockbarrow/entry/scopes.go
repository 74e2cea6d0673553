// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// mostScopes bounds the values of one tag that have metrics of their own; all others share one.
const maxScopes = 256

// taggedScopes holds the metrics of each value of one tag, which cost more to find by the tag. The zero value is ready.
type taggedScopes struct {
	scopes sync.Map // of tally.Scope by value
	count  atomic.Int64
}

func (t *taggedScopes) get(scope tally.Scope, tag, value string) tally.Scope {
	if s, ok := t.scopes.Load(value); ok {
		return s.(tally.Scope)
	}
	if t.count.Load() >= maxScopes {
		return scope.Tagged(map[string]string{tag: "others"})
	}
	s, loaded := t.scopes.LoadOrStore(value, scope.Tagged(map[string]string{tag: value}))
	if !loaded {
		t.count.Add(1)
	}
	return s.(tally.Scope)
}
