// SPDX-License-Identifier: MIT

package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Table prints the results, with ratios against the best baseline of the same
// rate and seed.
func Table(out io.Writer, results []*Result) error {
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "POLICY\tRATE\tSEED\tFINISHED\tP50 MS\tP95 MS\tWASTED\tGOODPUT\tP95 RATIO\tWASTE RATIO")
	for _, r := range results {
		p95, waste := best(results, r)
		fmt.Fprintf(w, "%s\t%.1f\t%d\t%d of %d\t%.0f\t%.0f\t%.1f %%\t%.2f\t%.2f\t%.2f\n", r.Policy, r.Rate, r.Seed, r.Finished, r.Offered,
			r.P50, r.P95, 100*r.Wasted(), r.Goodput, r.P95/p95, r.Wasted()/waste)
	}
	return w.Flush()
}

// best returns the best baseline's latency and waste beside a result.
func best(results []*Result, r *Result) (p95, waste float64) {
	for _, o := range results {
		if o.Policy == "cost" || o.Rate != r.Rate || o.Seed != r.Seed {
			continue
		}
		if p95 == 0 || o.P95 < p95 {
			p95 = o.P95
		}
		if waste == 0 || o.Wasted() < waste {
			waste = o.Wasted()
		}
	}
	return p95, waste
}

// Write writes the results as JSON lines, the table, and plots into a folder.
func Write(dir string, results []*Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errors.Wrap(err, "report")
	}
	lines, err := os.Create(filepath.Join(dir, "results.jsonl"))
	if err != nil {
		return errors.Wrap(err, "report")
	}
	defer lines.Close()
	e := json.NewEncoder(lines)
	for _, r := range results {
		if err := e.Encode(r); err != nil {
			return errors.Wrap(err, "report")
		}
	}
	table, err := os.Create(filepath.Join(dir, "table.txt"))
	if err != nil {
		return errors.Wrap(err, "report")
	}
	defer table.Close()
	if err := Table(table, results); err != nil {
		return errors.Wrap(err, "report")
	}
	if err := plotLatency(filepath.Join(dir, "latency.png"), results); err != nil {
		return err
	}
	return plotGoodput(filepath.Join(dir, "goodput.png"), results)
}

// plotLatency draws the distribution of program latency for each policy.
func plotLatency(path string, results []*Result) error {
	p := plot.New()
	p.Title.Text = "program latency"
	p.X.Label.Text = "milliseconds"
	p.Y.Label.Text = "share of programs"
	var series []any
	for _, r := range results {
		xy := make(plotter.XYs, len(r.Latencies))
		for i, v := range r.Latencies {
			xy[i] = plotter.XY{X: v, Y: float64(i+1) / float64(len(r.Latencies))}
		}
		series = append(series, fmt.Sprintf("%s at %.0f/s", r.Policy, r.Rate), xy)
	}
	if err := plotutil.AddLines(p, series...); err != nil {
		return errors.Wrap(err, "report: plot")
	}
	return errors.Wrap(p.Save(8*vg.Inch, 5*vg.Inch, path), "report: plot")
}

// plotGoodput draws goodput against the offered load.
func plotGoodput(path string, results []*Result) error {
	p := plot.New()
	p.Title.Text = "goodput"
	p.X.Label.Text = "programs offered a second"
	p.Y.Label.Text = "programs finished a second"
	points := map[string]plotter.XYs{}
	var order []string
	for _, r := range results {
		if points[r.Policy] == nil {
			order = append(order, r.Policy)
		}
		points[r.Policy] = append(points[r.Policy], plotter.XY{X: r.Rate, Y: r.Goodput})
	}
	var series []any
	for _, name := range order {
		series = append(series, name, points[name])
	}
	if err := plotutil.AddLinePoints(p, series...); err != nil {
		return errors.Wrap(err, "report: plot")
	}
	return errors.Wrap(p.Save(8*vg.Inch, 5*vg.Inch, path), "report: plot")
}
