// SPDX-License-Identifier: MIT

package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/rockbench/quotas"
)

// quotasOptions are those of the command line.
type quotasOptions struct {
	seed  uint64
	seeds int
}

func (o *quotasOptions) add(c *flaggy.Subcommand) {
	c.UInt64(&o.seed, "", "seed", "the first seed")
	c.Int(&o.seeds, "", "seeds", "how many seeds each cell is the mean of; the most that ran is that of all seeds")
}

// runQuotas prints what each way of letting customers in does in each scenario.
func runQuotas(out io.Writer, o quotasOptions) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "scenario\tway\tmost of what may run\trefused within quota\tnew programs of the refused\tquestions a request")
	ways := quotas.Ways()
	for _, s := range quotas.All() {
		for _, name := range slices.Sorted(maps.Keys(ways)) {
			r := o.mean(s, ways[name])
			fmt.Fprintf(w, "%s\t%s\t%.2f\t%.4f\t%.2f\t%.2f\n", s.Name, name, r.Most, r.Below, r.Begun, r.Asked)
		}
	}
	return w.Flush()
}

func (o quotasOptions) mean(s quotas.Scenario, way quota.Mode) quotas.Result {
	var sum quotas.Result
	n := float64(max(1, o.seeds))
	for i := range max(1, o.seeds) {
		r := quotas.Run(s, way, o.seed+uint64(i))
		sum.Most = max(sum.Most, r.Most)
		sum.Below += r.Below / n
		sum.Begun += r.Begun / n
		sum.Asked += r.Asked / n
	}
	return sum
}
