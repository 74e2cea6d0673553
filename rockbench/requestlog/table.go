// SPDX-License-Identifier: MIT

package requestlog

import (
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"text/tabwriter"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// longestMS is the longest time that a histogram tells apart, an hour; digits is its
// precision.
const (
	longestMS = 3_600_000
	digits    = 2
)

// Table sums requests up by how they ended. The zero value is ready.
type Table struct {
	rows  map[string]*row
	total int
}

// row is the requests that ended in one way.
type row struct {
	outcome           string
	n                 int
	took, waited, own *hdrhistogram.Histogram
}

// names are what differs between reasons of one kind: ids, addresses, numbers.
var names = regexp.MustCompile(`[\w.:-]*\d[\w.:-]*`)

// Add counts a request.
func (t *Table) Add(l Line) {
	key := fmt.Sprintf("%d %s", l.Status, names.ReplaceAllString(l.Reason, "#"))
	if l.Status == 0 {
		key = "cut " + names.ReplaceAllString(l.Reason, "#")
	}
	if t.rows == nil {
		t.rows = map[string]*row{}
	}
	r := t.rows[key]
	if r == nil {
		r = &row{outcome: key, took: histogram(), waited: histogram(), own: histogram()}
		t.rows[key] = r
	}
	t.total++
	r.n++
	record(r.took, l.Took)
	record(r.waited, l.Waited)
	record(r.own, l.Own)
}

func histogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, longestMS, digits) }

// record never fails: the value is brought into the histogram's range.
func record(h *hdrhistogram.Histogram, ms int64) {
	_ = h.RecordValue(min(max(0, ms), longestMS))
}

// Write prints the table, the most frequent outcome first.
func (t *Table) Write(w io.Writer) error {
	var rows []*row
	for _, r := range t.rows {
		rows = append(rows, r)
	}
	slices.SortFunc(rows, func(a, b *row) int {
		return cmp.Or(cmp.Compare(b.n, a.n), cmp.Compare(a.outcome, b.outcome))
	})
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "requests\tshare\ttook p50\tp99\twaited p99\town p99\toutcome")
	for _, r := range rows {
		fmt.Fprintf(out, "%d\t%.4f\t%d\t%d\t%d\t%d\t%s\n", r.n, float64(r.n)/float64(t.total),
			r.took.ValueAtQuantile(50), r.took.ValueAtQuantile(99), r.waited.ValueAtQuantile(99), r.own.ValueAtQuantile(99), r.outcome)
	}
	return out.Flush()
}
