// SPDX-License-Identifier: MIT

// Package turnhistory judges what is promised of agent programs' turns after a final loss: a turn that continues one which was answered whole is
// known, and reaches an endpoint within the time to recover if other turns do or endpoints have room. An answer of 404 or 410 denies it, any
// other answer in all its attempts loses it.
package turnhistory

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"rockbarrow.dev/platform/standin"
)

// RecentFirst is how long before the end of the time to recover first turns are sent that tell whether others are served.
const RecentFirst = 4 * time.Second

// mostSeen bounds the kinds of answers that a violation lists.
const mostSeen = 6

// Turn is a turn whose client sent it until it was answered whole or the time to recover was over.
type Turn struct {
	// Program sends it, Previous is the turn that it continues, empty for a first turn.
	Program, Previous string
	// Whole is when Previous was answered whole. It is retained for Retention from then on.
	Whole     time.Time
	Retention time.Duration
	Tries     []standin.TurnTry
}

// History is all turns after a final loss.
type History struct {
	// Back is when all instances had started again, and Until when the time to recover was over.
	Back, Until time.Time
	Turns       []Turn
	// Full is true if the endpoints were half full, or more, at any time in the last [RecentFirst].
	Full bool
}

// Lost is what each violation begins with.
const Lost = "LOST: "

// Verdict is the judgement of a history.
type Verdict struct {
	Violations []string
	// Asked and Reached count continued turns, FirstAsked and FirstReached first turns.
	Asked, Reached, FirstAsked, FirstReached int
	// Unserved is how many continued turns reached no endpoint while others did not either and endpoints were full, or were not sent all the
	// time.
	Unserved int
	// Unanswered is how many continued turns reached an endpoint and were not answered whole, for example as it ended under them.
	Unanswered int
	// Earliest and Longest are the times from Back until a continued turn had reached an endpoint, the least and the greatest.
	Earliest, Longest time.Duration
	// reached are these times in no order.
	reached []time.Duration
}

// ReachedWithin returns how many continued turns reached an endpoint within a time from Back.
func (v *Verdict) ReachedWithin(d time.Duration) int {
	n := 0
	for _, took := range v.reached {
		n += count(took <= d)
	}
	return n
}

// Judge returns the verdict.
func (h *History) Judge() Verdict {
	var v Verdict
	firstLate, firstLateReached := 0, 0
	for _, t := range h.Turns {
		switch reached := t.isReached(); {
		case t.Previous == "":
			v.FirstAsked++
			v.FirstReached += count(reached)
			if len(t.Tries) > 0 && !t.Tries[0].Sent.Before(h.Until.Add(-RecentFirst)) {
				firstLate++
				firstLateReached += count(reached)
			}
		case reached:
			v.Asked++
			v.Reached++
			v.Unanswered += count(!t.isAnswered())
			took := t.reachedAt().Sub(h.Back)
			v.reached = append(v.reached, took)
			v.Longest = max(v.Longest, took)
			if v.Reached == 1 || took < v.Earliest {
				v.Earliest = took
			}
		default:
			v.Asked++
		}
	}
	isServed := !h.Full || isMost(v.Reached, v.Asked-1) || isMost(firstLateReached, firstLate)
	load := "endpoints under half full"
	if h.Full {
		load = "endpoints half full"
	}
	for _, t := range h.Turns {
		others := fmt.Sprintf("while %d of %d other turns that continue one, %d of %d first turns and %d of %d of the last %v did, %s",
			v.Reached, v.Asked-1, v.FirstReached, v.FirstAsked, firstLateReached, firstLate, RecentFirst, load)
		switch {
		case t.Previous == "":
		case t.isDenied():
			v.Violations = append(v.Violations, fmt.Sprintf(Lost+"%s was denied: %s", t, t.seen()))
		case t.isReached():
		case isServed && t.isAskedUntil(h.Until):
			v.Violations = append(v.Violations, fmt.Sprintf(Lost+"%s reached no endpoint in %d tries over %v, %s: %s",
				t, len(t.Tries), t.asked().Round(time.Millisecond), others, t.seen()))
		default:
			v.Unserved++
		}
	}
	return v
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// isMost reports whether four fifths of some are in a part of them.
func isMost(part, all int) bool { return all > 0 && 5*part >= 4*all }

// isReached reports whether any attempt reached an endpoint.
func (t Turn) isReached() bool {
	return slices.ContainsFunc(t.Tries, func(a standin.TurnTry) bool { return a.Reached })
}

// isAnswered reports whether the last attempt was answered whole.
func (t Turn) isAnswered() bool {
	last := t.Tries[len(t.Tries)-1]
	return last.Status == http.StatusOK && last.Reason == ""
}

// reachedAt returns when the first attempt that reached an endpoint had ended.
func (t Turn) reachedAt() time.Time {
	for _, a := range t.Tries {
		if a.Reached {
			return a.Ended
		}
	}
	return time.Time{}
}

// isDenied reports whether an answer says that there is no such turn although it is retained.
func (t Turn) isDenied() bool {
	return slices.ContainsFunc(t.Tries, func(a standin.TurnTry) bool {
		return (a.Status == http.StatusNotFound || a.Status == http.StatusGone) && a.Ended.Before(t.Whole.Add(t.Retention))
	})
}

// isAskedUntil reports whether the turn was sent until a time, and its previous one retained so long.
func (t Turn) isAskedUntil(until time.Time) bool {
	const slack = time.Second
	n := len(t.Tries)
	return n > 0 && !t.Tries[n-1].Ended.Before(until.Add(-slack)) && t.Whole.Add(t.Retention).After(until)
}

func (t Turn) asked() time.Duration {
	if len(t.Tries) == 0 {
		return 0
	}
	return t.Tries[len(t.Tries)-1].Ended.Sub(t.Tries[0].Sent)
}

// String names the turn by its first attempt, as its logs do.
func (t Turn) String() string {
	id := ""
	if len(t.Tries) > 0 {
		id = t.Tries[0].ID
	}
	return fmt.Sprintf("turn %s of program %s, which continues %s (whole at %s)", id, t.Program, t.Previous, t.Whole.Format("15:04:05.000"))
}

// seen lists the kinds of answers, the most frequent ones first, each with an attempt and the instance that gave it.
func (t Turn) seen() string {
	type kind struct {
		text    string
		n       int
		example standin.TurnTry
	}
	var kinds []*kind
	for _, a := range t.Tries {
		text := strings.TrimSpace(fmt.Sprint(a.Status, " ", a.Reason))
		i := slices.IndexFunc(kinds, func(k *kind) bool { return k.text == text })
		if i < 0 {
			i = len(kinds)
			kinds = append(kinds, &kind{text: text, example: a})
		}
		kinds[i].n++
	}
	slices.SortStableFunc(kinds, func(a, b *kind) int { return cmp.Compare(b.n, a.n) })
	var out []string
	for _, k := range kinds[:min(len(kinds), mostSeen)] {
		out = append(out, fmt.Sprintf("%d x %s (such as %s at %s)", k.n, k.text, k.example.ID, k.example.Entry))
	}
	return strings.Join(out, ", ")
}
