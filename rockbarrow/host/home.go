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
	// draws bounds how often an id is drawn until its replicas suit.
	draws = 256
	// idBytes is the size of the drawn part of an id.
	idBytes = 12
)

// NewRunID returns a new run's id, which begins with its home failure domain.
// Without a key it is drawn so that this instance, if its domain is allowed,
// owns the run and the replicas live. A key has one home for ever, by its hash,
// as a second one would fork the history; only a fenced domain is passed over.
func (h *Host) NewRunID(customer, key string, b control.Binding) (string, *peerpb.Problem) {
	if key != "" {
		return h.keyed(customer, key, b)
	}
	domains := h.open(b)
	if len(domains) == 0 {
		return "", problem.Retry(problem.NotServing, "no allowed failure domain takes new runs", time.Second)
	}
	home := h.nearest(domains)
	return h.draw(home), nil
}

func (h *Host) keyed(customer, key string, b control.Binding) (string, *peerpb.Problem) {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	domains := b.Proto().GetDomains()
	start := binary.BigEndian.Uint64(sum[:]) % uint64(len(domains))
	for i := range uint64(len(domains)) {
		d := domains[(start+i)%uint64(len(domains))]
		if mode, _ := h.Config().Withdrawn(d); mode != configpb.Withdrawal_MODE_FENCE {
			return d + "." + hex.EncodeToString(sum[:idBytes]), nil
		}
	}
	return "", problem.Retry(problem.NotServing, "all allowed failure domains are fenced", time.Second)
}

// open returns the allowed domains that take new runs and have live instances.
func (h *Host) open(b control.Binding) []string {
	var out []string
	view := h.View()
	for _, d := range b.Proto().GetDomains() {
		if _, withdrawn := h.Config().Withdrawn(d); !withdrawn && alive(view, d) {
			out = append(out, d)
		}
	}
	return out
}

func alive(v *roster.View, domain string) bool {
	for _, i := range v.Instances() {
		if i.Domain() == domain && i.State() != roster.Dead {
			return true
		}
	}
	return false
}

func (h *Host) nearest(domains []string) string {
	for _, d := range domains {
		if d == h.Domain {
			return d
		}
	}
	var b [1]byte
	rand.Read(b[:])
	return domains[int(b[0])%len(domains)]
}

// draw draws ids until the replicas suit, or takes the last.
func (h *Host) draw(home string) string {
	view := h.View()
	id := ""
	for range draws {
		var b [idBytes]byte
		rand.Read(b[:])
		id = home + "." + hex.EncodeToString(b[:])
		ranked := view.RankByKey(id, home, true)
		if home == h.Domain && ranked[0].Instance() != h.Instance {
			continue
		}
		if usable(ranked) {
			return id
		}
	}
	return id
}

// usable reports whether the first replicas of an id live.
func usable(ranked []roster.Instance) bool {
	for _, i := range ranked[:min(3, len(ranked))] {
		if !i.Usable() {
			return false
		}
	}
	return true
}
