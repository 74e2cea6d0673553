// SPDX-License-Identifier: MIT

package requestlog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Continued tells of each turn that continues an earlier one and was refused in all its tries what refused it, and what was served
// meanwhile. Tries are told by their program and the turn that they continue, as each may have an id of its own; a program that
// continues one turn twice counts as one. That takes the lines of all entry instances, in any order. The zero value is ready.
type Continued struct {
	byTurn map[continuedTurn]*continuedTries
	// acknowledged holds the first line of each turn that was stored, by its id.
	acknowledged map[string]Line
	// served are the ends of turns that were served and continue an earlier one.
	served []servedTurn
}

// continuedTurn identifies a turn over its tries.
type continuedTurn struct{ program, previous string }

// servedTurn is a turn that an instance served.
type servedTurn struct {
	at       time.Duration
	instance string
}

// continuedTries are the tries of a turn.
type continuedTries struct {
	tries []Line
	// reached is true once a try was served, cut off or failed at an endpoint.
	reached bool
}

// Add takes an ended request, or one that was refused before it was read.
func (t *Continued) Add(l Line) {
	if len(l.Stores) > 0 && l.Status == http.StatusOK {
		if t.acknowledged == nil {
			t.acknowledged = map[string]Line{}
		}
		if first, ok := t.acknowledged[l.Request]; !ok || l.At < first.At {
			t.acknowledged[l.Request] = l
		}
	}
	if l.Previous == "" {
		return
	}
	if t.byTurn == nil {
		t.byTurn = map[continuedTurn]*continuedTries{}
	}
	id := continuedTurn{program: l.Program, previous: l.Previous}
	if t.byTurn[id] == nil {
		t.byTurn[id] = &continuedTries{}
	}
	tries := t.byTurn[id]
	if l.Status == http.StatusOK {
		t.served = append(t.served, servedTurn{at: l.At, instance: l.Instance})
	}
	if !isRefusal(l) {
		tries.reached, tries.tries = true, nil
	}
	if !tries.reached {
		tries.tries = append(tries.tries, l)
	}
}

// isRefusal reports whether a request was refused, rather than answered with the error of an endpoint. Instances of earlier versions do
// not log what refused it.
func isRefusal(l Line) bool {
	return l.Status >= http.StatusBadRequest && (l.RefusedBy != "" || l.Offers == 0)
}

// Write prints a row for each turn that was refused in all its tries, those whose previous turn was acknowledged first, and then those
// with the most tries.
func (t *Continued) Write(w io.Writer) error {
	slices.SortFunc(t.served, func(a, b servedTurn) int { return cmp.Compare(a.at, b.at) })
	var rows []continuedRow
	acknowledged := 0
	for _, id := range slices.SortedFunc(maps.Keys(t.byTurn), compareContinued) {
		if tries := t.byTurn[id]; !tries.reached {
			r := t.row(id, tries.tries)
			rows = append(rows, r)
			if r.acknowledged != nil {
				acknowledged++
			}
		}
	}
	slices.SortStableFunc(rows, func(a, b continuedRow) int {
		if (a.acknowledged == nil) != (b.acknowledged == nil) {
			return cmp.Compare(b.order(), a.order())
		}
		return cmp.Compare(b.tries, a.tries)
	})
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "previous turn\tacknowledged\tby stores\tprogram\ttries\tfrom\tspan\tinstances\toffers\trefused by\tview\tlast store replies\tlacking\tothers served\tby the same instances\tlast request")
	for _, r := range rows[:min(len(rows), maxRows)] {
		r.write(out)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d turns that continue an earlier one were refused in all their tries, %d of them after one that had been acknowledged; %d turns that continue an earlier one were served\n",
		len(rows), acknowledged, len(t.served))
	return err
}

func compareContinued(a, b continuedTurn) int {
	return cmp.Or(cmp.Compare(a.previous, b.previous), cmp.Compare(a.program, b.program))
}

// continuedRow is a turn that was refused in all its tries.
type continuedRow struct {
	id continuedTurn
	// acknowledged is the line of the previous turn, or nil.
	acknowledged *Line
	tries        int
	// from is when the first try arrived, and span the time until the last one ended.
	from, span time.Duration
	instances  []string
	offers     int
	// refusedBy counts the steps that refused.
	refusedBy map[string]int
	// last is the last try, and stores the last one that stores refused, or nil.
	last   Line
	stores *Line
	// others are the other turns served in the span, and here those by the same instances.
	others, here int
}

func (t *Continued) row(id continuedTurn, tries []Line) continuedRow {
	slices.SortStableFunc(tries, func(a, b Line) int { return cmp.Compare(a.At, b.At) })
	r := continuedRow{id: id, tries: len(tries), last: tries[len(tries)-1], from: began(tries[0]), refusedBy: map[string]int{}}
	for i, l := range tries {
		r.from = min(r.from, began(l))
		r.offers += l.Offers
		r.refusedBy[cmp.Or(l.RefusedBy, "unknown")]++
		if !slices.Contains(r.instances, l.Instance) {
			r.instances = append(r.instances, l.Instance)
		}
		if len(l.StoreReplies) > 0 || len(l.Stores) > 0 {
			r.stores = &tries[i]
		}
	}
	r.span = r.last.At - r.from
	if a, ok := t.acknowledged[id.previous]; ok && a.At <= r.last.At {
		r.acknowledged = &a
	}
	first, _ := slices.BinarySearchFunc(t.served, r.from, func(s servedTurn, at time.Duration) int { return cmp.Compare(s.at, at) })
	for _, s := range t.served[first:] {
		if s.at > r.last.At {
			break
		}
		r.others++
		if slices.Contains(r.instances, s.instance) {
			r.here++
		}
	}
	return r
}

// began returns when a request arrived.
func began(l Line) time.Duration { return l.At - time.Duration(l.Took)*time.Millisecond }

func (r continuedRow) order() int {
	if r.acknowledged == nil {
		return 0
	}
	return 1
}

func (r continuedRow) write(w io.Writer) {
	at, by := "-", "-"
	if r.acknowledged != nil {
		at, by = round(r.acknowledged.At).String(), joined(r.acknowledged.Stores)
	}
	var steps []string
	for _, step := range slices.Sorted(maps.Keys(r.refusedBy)) {
		steps = append(steps, fmt.Sprintf("%s:%d", step, r.refusedBy[step]))
	}
	view, replies, lacking := "-", "-", "-"
	if r.stores != nil {
		view, replies, lacking = viewText(*r.stores), repliesText(*r.stores), cmp.Or(strings.Join(r.stores.Shortfalls, ", "), "-")
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%v\t%v\t%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", r.id.previous, at, by, r.id.program, r.tries, round(r.from), round(r.span),
		joined(r.instances), r.offers, strings.Join(steps, ","), view, replies, lacking, r.others, r.here, r.last.Request)
}

// viewText describes the view that a request was refused under.
func viewText(l Line) string {
	out := fmt.Sprint(l.View)
	if l.ViewChange {
		out += " changing"
	}
	if l.Abandoned > 0 {
		out += fmt.Sprintf(", %d abandoned", l.Abandoned)
	}
	return out
}

// repliesText returns the replies of the stores. A line about a turn that was not found names the stores that do not have it.
func repliesText(l Line) string {
	if len(l.StoreReplies) > 0 {
		return strings.Join(l.StoreReplies, ", ")
	}
	var out []string
	for _, name := range l.Stores {
		kind := " not_found"
		if slices.Contains(l.Incomplete, name) {
			kind = " not_found_incomplete"
		}
		out = append(out, name+kind)
	}
	return strings.Join(out, ", ")
}
