// SPDX-License-Identifier: MIT

package requestlog

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
)

// longMS is a wait that counts as a cause: several times what a reservation (10 ms) or a
// place in a calm hour takes.
const longMS = 150

// slowMS is an endpoint's time that counts as a cause: longer than nearly all calls of a
// calm day take.
const slowMS = 1200

// cause is something that may go wrong with a request.
type cause struct {
	name  string
	holds func(Line) bool
}

// causes are ordered, the gravest first.
var causes = []cause{
	{"answer cut", func(l Line) bool { return l.Status == 0 }},
	{"may have run, failed", func(l Line) bool { return l.Status == http.StatusBadGateway }},
	{"out of time", func(l Line) bool { return l.Status == http.StatusGatewayTimeout }},
	{"refused", func(l Line) bool { return l.Status == http.StatusServiceUnavailable }},
	{"waited for a place", func(l Line) bool { return l.Waited > longMS }},
	{"waited for stores", func(l Line) bool { return l.Own > longMS }},
	{"endpoint slow", func(l Line) bool { return l.Took-l.Waited-l.Own > slowMS }},
}

// Programs counts programs by the gravest thing that happened to one of their requests.
// The zero value is ready.
type Programs struct {
	// worst is the index of the gravest cause of each program, len(causes) for none.
	worst map[string]int
}

// Add counts a request of a program.
func (t *Programs) Add(l Line) {
	if l.Program == "" {
		return
	}
	if t.worst == nil {
		t.worst = map[string]int{}
	}
	i := slices.IndexFunc(causes, func(c cause) bool { return c.holds(l) })
	if i < 0 {
		i = len(causes)
	}
	if worst, ok := t.worst[l.Program]; !ok || i < worst {
		t.worst[l.Program] = i
	}
}

// Write prints the table, the most frequent cause first.
func (t *Programs) Write(w io.Writer) error {
	n := make([]int, len(causes)+1)
	for _, i := range t.worst {
		n[i]++
	}
	order := make([]int, len(causes))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(n[b], n[a]) })
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "programs\tshare\tgravest of their requests")
	for _, i := range append(order, len(causes)) {
		name := "nothing of these"
		if i < len(causes) {
			name = causes[i].name
		}
		fmt.Fprintf(out, "%d\t%.4f\t%s\n", n[i], float64(n[i])/float64(max(1, len(t.worst))), name)
	}
	return out.Flush()
}
