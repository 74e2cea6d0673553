// SPDX-License-Identifier: MIT

package entry

import (
	"sync"
	"sync/atomic"

	"github.com/uber-go/tally/v4"
)

// maxScopes bounds the number of tag values with metrics of their own. All others share one scope.
const maxScopes = 256

// taggedScopes caches the metrics scope of each value of one tag. The zero value is ready to use.
type taggedScopes struct {
	scopes sync.Map // of tally.Scope by value
	count  atomic.Int64
}

// get returns the scope for a value of the tag.
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
