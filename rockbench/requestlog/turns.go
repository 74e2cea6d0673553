// SPDX-License-Identifier: MIT

package requestlog

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"
)

// What the reason of a refusal begins or ends with if a turn was not found.
const (
	unknownTurn = "stores: unknown turn "
	missingTurn = " is missing from the chain"
)

// linesDropped is the message about log lines that were dropped.
const linesDropped = "log lines were dropped"

// Turns tells of each turn that was not found whether it was acknowledged before, by whom, or never. That takes the lines of all entry
// instances, in any order. The zero value is ready.
type Turns struct {
	// acknowledged holds the first line of each turn that was stored, by its id.
	acknowledged map[string]Line
	notFound     []Line
	// dropped are lines that no instance wrote, and silent is how many instances ended without a word and may have kept back some.
	dropped int
	lives   Lives
}

// Add takes an ended request.
func (t *Turns) Add(l Line) {
	switch {
	case len(l.Stores) > 0 && l.Status == http.StatusOK:
		if t.acknowledged == nil {
			t.acknowledged = map[string]Line{}
		}
		if first, ok := t.acknowledged[l.Request]; !ok || l.At < first.At {
			t.acknowledged[l.Request] = l
		}
	case strings.HasPrefix(l.Reason, unknownTurn), strings.HasSuffix(l.Reason, missingTurn):
		t.notFound = append(t.notFound, l)
	}
}

// AddEvent takes an event that bears on whether all lines are there, and ignores others.
func (t *Turns) AddEvent(e Event) {
	if e.Message == linesDropped {
		t.dropped += e.Lines
	}
	t.lives.Add(e)
}

// Write prints a row for each turn that was not found although it was acknowledged before, or that is missing from a chain, and then
// how many there were of each kind.
func (t *Turns) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "turn\tstatus\tat\tby\tview\tstores that replied\tincomplete\tacknowledged\tby\tview\tstores\trequest")
	before, later, missing, rows := 0, 0, 0, 0
	for _, l := range t.notFound {
		turn, isMissing := turnOf(l)
		a, ok := t.acknowledged[turn]
		switch {
		case isMissing:
			missing++
		case ok && a.At+time.Duration(l.Took)*time.Millisecond <= l.At:
			before++
		case ok:
			later++
			continue
		default:
			continue
		}
		if rows++; rows > maxRows {
			continue
		}
		fmt.Fprintf(out, "%s\t%d\t%v\t%s\t%d\t%s\t%s\t", turn, l.Status, round(l.At), l.Instance, l.View, joined(l.Stores), joined(l.Incomplete))
		if !ok {
			fmt.Fprintf(out, "-\t-\t-\t-\t%s\n", l.Request)
			continue
		}
		fmt.Fprintf(out, "%v\t%s\t%d\t%s\t%s\n", round(a.At), a.Instance, a.View, joined(a.Stores), l.Request)
	}
	if err := out.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d turns were not found: %d had been acknowledged before, %d were acknowledged during or after it, %d had a predecessor that was not found, and no line tells that %d others were ever acknowledged; "+
		"%d turns were acknowledged; %d lines were dropped, and %d entry instances ended without a word\n",
		len(t.notFound), before, later, missing, len(t.notFound)-before-later-missing, len(t.acknowledged), t.dropped, t.lives.silent("entry"))
	return err
}

// turnOf returns the turn that was not found, and whether it is a predecessor of the one that the request continues.
func turnOf(l Line) (turn string, isMissing bool) {
	before, isMissing := strings.CutSuffix(l.Reason, missingTurn)
	if !isMissing {
		return strings.TrimPrefix(l.Reason, unknownTurn), false
	}
	return before[strings.LastIndexByte(before, ' ')+1:], true
}

// joined joins the names of instances for a cell.
func joined(list []string) string {
	if len(list) == 0 {
		return "-"
	}
	return strings.Join(list, ",")
}
