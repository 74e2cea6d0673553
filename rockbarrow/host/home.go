// SPDX-License-Identifier: MIT

package host

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/peerpb"
)

const (
	// maxIDDraws bounds the attempts to find an id whose replicas are usable.
	maxIDDraws = 256
	// randomIDBytes is the length of the part of an id after the failure domain.
	randomIDBytes = 12
)

// NewRunID returns the id of a new run, which begins with its home failure
// domain. Without an idempotency key the id is random and chosen so that this
// instance, if its failure domain is allowed, owns the run and its replicas are
// usable. With a key the id and the failure domain follow from the key's hash, so
// that a repeated request reaches the same run; only fenced domains are skipped.
func (h *Host) NewRunID(customer, key string, b control.Binding) (string, *peerpb.Problem) {
	if key != "" {
		return h.keyedRunID(customer, key, b)
	}
	domains := h.openDomains(b)
	if len(domains) == 0 {
		return "", problem.Retry(problem.NotServing, "no allowed failure domain accepts new runs", time.Second)
	}
	home := h.preferredDomain(domains)
	return h.randomRunID(home), nil
}

func (h *Host) keyedRunID(customer, key string, b control.Binding) (string, *peerpb.Problem) {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	domains := b.Proto().GetDomains()
	start := binary.BigEndian.Uint64(sum[:]) % uint64(len(domains))
	for i := range uint64(len(domains)) {
		d := domains[(start+i)%uint64(len(domains))]
		if mode, _ := h.Config().Withdrawn(d); mode != configpb.Withdrawal_MODE_FENCE {
			return d + "." + hex.EncodeToString(sum[:randomIDBytes]), nil
		}
	}
	return "", problem.Retry(problem.NotServing, "all allowed failure domains are fenced", time.Second)
}

// openDomains returns the failure domains that the binding allows, that are
// not withdrawn and that have an instance which is not dead.
func (h *Host) openDomains(b control.Binding) []string {
	var out []string
	view := h.View()
	for _, d := range b.Proto().GetDomains() {
		if _, withdrawn := h.Config().Withdrawn(d); !withdrawn && hasLiveInstance(view, d) {
			out = append(out, d)
		}
	}
	return out
}

func hasLiveInstance(v *roster.View, domain string) bool {
	for _, i := range v.Instances() {
		if i.Domain() == domain && i.State() != roster.Dead {
			return true
		}
	}
	return false
}

func (h *Host) preferredDomain(domains []string) string {
	for _, d := range domains {
		if d == h.Domain {
			return d
		}
	}
	var b [1]byte
	rand.Read(b[:])
	return domains[int(b[0])%len(domains)]
}

// randomRunID returns a random id whose replicas are usable, or any id if none
// is found.
func (h *Host) randomRunID(home string) string {
	view := h.View()
	id := ""
	for range maxIDDraws {
		var b [randomIDBytes]byte
		rand.Read(b[:])
		id = home + "." + hex.EncodeToString(b[:])
		ranked := view.RankByKey(id, home, true)
		if home == h.Domain && ranked[0].Instance() != h.Instance {
			continue
		}
		if replicasUsable(ranked) {
			return id
		}
	}
	return id
}

// replicasUsable reports whether the three highest-ranked instances are
// usable.
func replicasUsable(ranked []roster.Instance) bool {
	for _, i := range ranked[:min(3, len(ranked))] {
		if !i.Usable() {
			return false
		}
	}
	return true
}
