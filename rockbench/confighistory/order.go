// SPDX-License-Identifier: MIT

package confighistory

import (
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
// beginning and its end. The caller holds mu.
func (h *History) isOrdered(within time.Duration) (ordered, undecided bool) {
	latest, earliest := h.latestEffects(), h.unanswered()
	var list []porcupine.Operation
	for _, c := range h.calls {
		if r, ok := c.operation.(replace); ok && (r.invalid != "" || c.status != http.StatusOK) {
			continue
		}
		list = append(list, porcupine.Operation{Input: c.operation, Call: int64(c.sent), Return: int64(c.ended)})
	}
	for document, c := range earliest {
		// It may take effect after its end, but not after somebody has read what it sent. An order in which nobody reads that is one
		// without the call, too.
		if ended, ok := latest[document]; ok {
			list = append(list, porcupine.Operation{Input: c.operation, Call: int64(c.sent), Return: int64(max(c.sent, ended))})
		}
	}
	switch porcupine.CheckOperationsTimeout(register, list, within) {
	case porcupine.Ok:
		return true, false
	case porcupine.Unknown:
		return false, true
	}
	return false, false
}

// unanswered returns the first call without a clear answer of each valid document. Later ones could take effect when it could.
func (h *History) unanswered() map[digest]call {
	out := map[digest]call{}
	for _, c := range h.calls {
		r, ok := c.operation.(replace)
		if !ok || r.invalid != "" || c.status == http.StatusOK {
			continue
		}
		if first, known := out[r.document]; !known || c.sent < first.sent {
			out[r.document] = c
		}
	}
	return out
}

// latestEffects returns the end of the first read to end of each document that was read.
func (h *History) latestEffects() map[digest]time.Duration {
	out := map[digest]time.Duration{}
	for _, c := range h.calls {
		r, ok := c.operation.(read)
		if !ok {
			continue
		}
		if first, known := out[r.document]; !known || c.ended < first {
			out[r.document] = c.ended
		}
	}
	return out
}
