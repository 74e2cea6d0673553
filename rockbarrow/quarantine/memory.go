// SPDX-License-Identifier: MIT

package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// endTTL is how long an end is remembered: participants may be reported late, and rates are measured.
	endTTL = time.Minute
	// clearedTTL is how long it is remembered that a key was cleared, or an execution over, so that late news do not bring it back.
	clearedTTL = 30 * time.Second
)

// evict drops what is too old or too much; the caller holds mu. Refused requests go last.
func (r *Registry) evict(now time.Time) {
	maps.DeleteFunc(r.suspects, func(_ Key, s *suspect) bool { return s.isExpired(now) })
	maps.DeleteFunc(r.cleared, func(_ Key, c clearance) bool { return now.Sub(c.at) > clearedTTL })
	maps.DeleteFunc(r.over, func(_ string, at time.Time) bool { return now.Sub(at) > clearedTTL })
	r.evictEnds(now)
	if len(r.suspects) > maxSuspects {
		r.evictSuspects()
	}
	for key := range r.cleared {
		if len(r.cleared) <= maxCleared {
			break
		}
		delete(r.cleared, key)
	}
}

// evictSuspects drops an eighth of the suspects, so that most reports find room. The caller holds mu.
func (r *Registry) evictSuspects() {
	type ranked struct {
		suspect *suspect
		rank    int
	}
	list := make([]ranked, 0, len(r.suspects))
	for _, s := range r.suspects {
		list = append(list, ranked{suspect: s, rank: s.rank()})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), a.suspect.updated.Compare(b.suspect.updated))
	})
	for _, l := range list[:len(list)-maxSuspects*7/8] {
		delete(r.suspects, l.suspect.key)
	}
}

// rank is higher for suspects that are to be kept longer.
func (s *suspect) rank() int {
	if !s.refusedAt.IsZero() {
		return MaxEnds + 1
	}
	return min(s.count(), MaxEnds)
}

// evictEnds drops old ends, and the oldest ones if there are too many; the caller holds mu.
func (r *Registry) evictEnds(now time.Time) {
	oldest := now.Add(-endTTL)
	if r.endCount > maxEnds {
		var times []time.Time
		for _, list := range r.ends {
			for _, e := range list {
				times = append(times, e.at)
			}
		}
		slices.SortFunc(times, time.Time.Compare)
		if at := times[len(times)-maxEnds/2]; at.After(oldest) {
			oldest = at
		}
	}
	r.endCount = 0
	for id, list := range r.ends {
		list = slices.DeleteFunc(list, func(e *ended) bool { return e.at.Before(oldest) })
		r.endCount += len(list)
		if len(list) == 0 {
			delete(r.ends, id)
			continue
		}
		r.ends[id] = list
	}
}
