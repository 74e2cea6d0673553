// SPDX-License-Identifier: MIT

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbench/emulator"
	"rockbarrow.dev/rockbench/pattern"
)

// patternsOptions are those of the command line.
type patternsOptions struct {
	name        string
	seed, seeds int
	asJSON      bool
}

func (o *patternsOptions) add(c *flaggy.Subcommand) {
	c.String(&o.name, "", "only", "the name of one pattern")
	c.Int(&o.seed, "", "seed", "the first seed")
	c.Int(&o.seeds, "", "seeds", "how many seeds")
	c.Bool(&o.asJSON, "", "json", "one JSON line a pattern in place of a table")
}

// patternRow is what some seeds of a pattern came to: shares of worth.
type patternRow struct {
	Pattern string `json:"pattern"`
	About   string `json:"about"`
	// Share is the mean as built, Least and Most the spread over the seeds; LastShare is that of the last quarter of
	// the day, when the trouble has gone.
	Share     float64 `json:"share"`
	Least     float64 `json:"least"`
	Most      float64 `json:"most"`
	LastShare float64 `json:"last_share"`
	// NoLimiter is the mean without a limiter, Ideal that of who knows all lengths.
	NoLimiter float64 `json:"no_limiter"`
	Ideal     float64 `json:"ideal"`
}

// runPatterns plays the patterns of load.
func runPatterns(out io.Writer, o patternsOptions) error {
	if o.seeds < 1 || o.seed < 0 {
		return errors.New("patterns: seeds must be 1 or more, seed 0 or more")
	}
	played := pattern.All()
	if o.name != "" {
		played = slices.DeleteFunc(played, func(p pattern.Pattern) bool { return p.Name() != o.name })
	}
	if len(played) == 0 {
		return errors.Errorf("patterns: there is no pattern %q", o.name)
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if !o.asJSON {
		fmt.Fprintln(table, "pattern\tshare\tleast\tmost\tlast quarter\tno limiter\tideal")
	}
	for _, p := range played {
		row := playPattern(p, o)
		if o.asJSON {
			if err := json.NewEncoder(out).Encode(row); err != nil {
				return errors.Wrap(err, "patterns")
			}
			continue
		}
		fmt.Fprintf(table, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", row.Pattern, row.Share, row.Least, row.Most, row.LastShare, row.NoLimiter, row.Ideal)
	}
	return table.Flush()
}

func playPattern(p pattern.Pattern, o patternsOptions) patternRow {
	row := patternRow{Pattern: p.Name(), About: p.About(), Least: 1}
	n := float64(o.seeds)
	for i := range o.seeds {
		run := emulator.Run{Deployment: p.Deployment(), Seed: uint64(o.seed + i), Limited: true, Policy: placement.Spread}
		built := run.Play()
		run.Limited = false
		row.NoLimiter += run.Play().Share / n
		row.Share += built.Share / n
		row.LastShare += built.LastShare / n
		row.Ideal += built.Ideal / n
		row.Least, row.Most = min(row.Least, built.Share), max(row.Most, built.Share)
	}
	return row
}
