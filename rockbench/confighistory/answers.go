// SPDX-License-Identifier: MIT

package confighistory

import (
	"cmp"
	"net/http"
	"slices"
	"time"
)

// ApplyWithin is how long after its acknowledgement a configuration must be in force everywhere.
const ApplyWithin = 2 * time.Second

// LateSlack is how long after its time limit a request must have its response.
const LateSlack = 500 * time.Millisecond

const (
	// rollbackSlack is how long after the effect of a version was seen an older one may still be.
	rollbackSlack = 250 * time.Millisecond
	// lateRequests late ones, more than one in lateShare of those that run into their limit, break a promise at an instance or at all
	// together. So do over half of all together, however few.
	lateRequests, lateShare = 8, 4
	// The success rate of added routes is checked from enoughRequests on. It must be at least that of the first route divided by leastShare.
	enoughRequests, leastShare = 20, 4
)

// Answer is a request that an entry instance answered or not.
type Answer struct {
	Instance string
	// Life is the number of the instance's process. It is Whole if no other one began before the end.
	Life  int
	Whole bool
	Path  string
	Sent  time.Time
	Response
	// Stalled is for how long of that time the client did not run.
	Stalled time.Duration
	// Undisturbed is true if the instance had no fault from some time before the request until its end, and Controlled if control could
	// bring changes to it too, from ApplyWithin before the request.
	Undisturbed, Controlled bool
	// Listed is true if the list of endpoints was served too, from some time before the request.
	Listed bool
}

func (a Answer) ended() time.Time { return a.Sent.Add(a.Took) }

// AddAnswer adds a request.
func (h *History) AddAnswer(a Answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers = append(h.answers, a)
}

// Seen is what was looked at, beside what was broken.
type Seen struct {
	// Judged counts the answers that were compared with the version that must be in force, and Lag is the longest time for which one came of
	// an older one.
	Judged int
	Lag    time.Duration
	// Limited counts requests that ran into their time limit, Late those without a response LateSlack later, and Added the answers on added
	// routes.
	Limited, Late, Added int
}

// process is one life of an instance.
type process struct {
	instance string
	life     int
}

// effect is the newest version whose effect was seen at a process until a time.
type effect struct {
	at      time.Time
	version uint64
}

// counts are those of an instance, or of all.
type counts struct{ first, added, limited tally }

// tally counts requests, and those of them that were served, or late.
type tally struct{ all, hits int }

func (t *tally) add(hit bool) {
	t.all++
	if hit {
		t.hits++
	}
}

func (t *tally) sum(other tally) {
	t.all += other.all
	t.hits += other.hits
}

// answerJudge judges requests in the order of their ends.
type answerJudge struct {
	changes *Changes
	add     func(string, ...any)
	seen    Seen
	effects map[process][]effect
	of      map[string]*counts
	// winners holds the path of each contested version that was served.
	winners map[uint64]string
}

// checkAnswers judges the requests. The caller holds mu.
func (h *History) checkAnswers(add func(string, ...any)) Seen {
	j := &answerJudge{changes: &h.Changes, add: add, effects: map[process][]effect{}, of: map[string]*counts{}, winners: map[uint64]string{}}
	slices.SortStableFunc(h.answers, func(a, b Answer) int { return a.ended().Compare(b.ended()) })
	for _, a := range h.answers {
		j.judge(a)
	}
	var all counts
	for instance, c := range j.of {
		j.checkCounts(instance, c)
		all.first.sum(c.first)
		all.added.sum(c.added)
		all.limited.sum(c.limited)
	}
	j.checkCounts("all instances together", &all)
	if l := all.limited; AreLate(l.hits, l.all) && !isManyLate(l.hits, l.all) {
		add("all instances together: %d of %d requests had no answer %v after their time limit", l.hits, l.all, LateSlack)
	}
	j.seen.Limited, j.seen.Late, j.seen.Added = all.limited.all, all.limited.hits, all.added.all
	return j.seen
}

func (j *answerJudge) judge(a Answer) {
	c := j.of[a.Instance]
	if c == nil {
		c = &counts{}
		j.of[a.Instance] = c
	}
	if a.Path == j.changes.First {
		if a.Status == http.StatusNotFound {
			// An instance without a configuration answers 503.
			j.add("%s: 404 for a route of all configurations", a.Instance)
		}
		if a.Undisturbed && a.Status != 0 {
			c.first.add(a.Status == http.StatusOK)
		}
		return
	}
	place := j.changes.Place(a.Path).before(a.ended())
	if len(place) == 0 {
		return
	}
	due := j.changes.Due(a.Sent)
	if last := place.Last(); a.Undisturbed && due >= last.Version {
		j.count(c, a, last.Behaviour)
	}
	if a.Whole && a.Tells(j.changes.Slow) {
		j.compare(a, place, due)
	}
}

// count counts a request whose newest behaviour is in force.
func (j *answerJudge) count(c *counts, a Answer, b Behaviour) {
	if b.IsPlain() && a.Listed && a.Status != 0 {
		c.added.add(a.Status == http.StatusOK)
	}
	if over := a.Took - a.Stalled - b.Limit; b.IsLimited() && over >= 0 {
		c.limited.add(over > LateSlack)
	}
}

// compare compares a request with the versions that may be in force, given the acknowledgements when it was sent and the versions that
// were seen at the process before.
func (j *answerJudge) compare(a Answer, place Place, due uint64) {
	matches := place.matches(a.Response)
	p := process{instance: a.Instance, life: a.Life}
	settled, shown := j.seenBefore(p, a.Sent.Add(-rollbackSlack)), j.seenBefore(p, a.Sent)
	if _, ok := firstAfter(matches, settled); !ok {
		j.violate(a, place, "after the effect of version", settled)
	}
	if from, ok := firstAfter(matches, shown); ok && from > shown {
		j.effects[p] = append(j.effects[p], effect{at: a.ended(), version: from})
	}
	if a.Undisturbed && a.Controlled {
		j.seen.Judged++
		j.seen.Lag = max(j.seen.Lag, j.changes.lag(matches, a.Sent))
		if _, ok := firstAfter(matches, due); !ok {
			j.violate(a, place, ApplyWithin.String()+" after the acknowledgement of version", due)
		}
	}
	for _, s := range place {
		if !s.Contested || a.Status != http.StatusOK {
			continue
		}
		if other := cmp.Or(j.winners[s.Version], a.Path); other != a.Path {
			j.add("%s: %s is served and %s was, of two configurations of version %d", a.Instance, a.Path, other, s.Version)
		}
		j.winners[s.Version] = cmp.Or(j.winners[s.Version], a.Path)
	}
}

// seenBefore returns the newest version whose effect was seen at a process before a time.
func (j *answerJudge) seenBefore(p process, at time.Time) (version uint64) {
	for _, e := range j.effects[p] {
		if e.at.Before(at) {
			version = max(version, e.version)
		}
	}
	return version
}

// violate records an answer that none of the versions that may be in force explains.
func (j *answerJudge) violate(a Answer, place Place, when string, version uint64) {
	j.add("%s: %s gets %d of %q in %d ms, %s %d; its versions: %v", a.Instance, a.Path, a.Status, a.Service, a.Took.Milliseconds(), when, version, place)
}

// AreLate reports whether requests without a response LateSlack after their time limit, of all that ran into it, break a promise.
func AreLate(late, all int) bool { return isManyLate(late, all) || 2*late > all }

func isManyLate(late, all int) bool { return late >= lateRequests && lateShare*late > all }

// checkCounts looks for too many late requests and too few that were served on added routes.
func (j *answerJudge) checkCounts(name string, c *counts) {
	if l := c.limited; isManyLate(l.hits, l.all) {
		j.add("%s: %d of %d requests had no answer %v after their time limit", name, l.hits, l.all, LateSlack)
	}
	if c.added.all >= enoughRequests && leastShare*c.added.hits*c.first.all < c.first.hits*c.added.all {
		j.add("%s: %d of %d requests on added routes were served, and %d of %d on the first", name, c.added.hits, c.added.all, c.first.hits, c.first.all)
	}
}
