// SPDX-License-Identifier: MIT

package confighistory

import (
	"math"
	"net/http"
	"time"

	"github.com/anishathalye/porcupine"
)

// value is the configuration in force, none if its version is zero.
type value struct {
	version  uint64
	document digest
}

// register is the model of the configuration: a change with a higher version replaces it, any other changes nothing.
var register = porcupine.Model{
	Init: func() any { return value{} },
	Step: func(state, input, _ any) (bool, any) {
		current := state.(value)
		switch o := input.(type) {
		case replace:
			if o.version <= current.version {
				return true, current
			}
			return true, value{version: o.version, document: o.document}
		case read:
			return current == value{version: o.version, document: o.document}, current
		}
		return false, state
	},
}

// isOrdered reports whether some order of the calls explains all reads, where each call takes effect between its
// beginning and its end. Those without a clear answer have no end. The caller holds mu.
func (h *History) isOrdered(within time.Duration) (ordered, undecided bool) {
	seen := map[digest]bool{}
	for _, c := range h.calls {
		if r, ok := c.operation.(read); ok {
			seen[r.document] = true
		}
	}
	var list []porcupine.Operation
	for _, c := range h.calls {
		ended := int64(c.ended)
		if r, ok := c.operation.(replace); ok {
			if r.invalid != "" {
				continue
			}
			if c.status != http.StatusOK {
				// An order in which nobody reads what such a call sent is one without it, too.
				if !seen[r.document] {
					continue
				}
				ended = math.MaxInt64
			}
		}
		list = append(list, porcupine.Operation{Input: c.operation, Call: int64(c.sent), Return: ended})
	}
	switch porcupine.CheckOperationsTimeout(register, list, within) {
	case porcupine.Ok:
		return true, false
	case porcupine.Unknown:
		return false, true
	}
	return false, false
}
