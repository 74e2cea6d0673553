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
)

// emulateOptions are those of the command line.
type emulateOptions struct {
	file        string
	seed, seeds int
	asJSON      bool
}

func (o *emulateOptions) add(c *flaggy.Subcommand) {
	c.AddPositionalValue(&o.file, "FILE", 1, true, "the deployment, such as rockbench/scenarios/preorder.toml")
	c.Int(&o.seed, "", "seed", "the first seed")
	c.Int(&o.seeds, "", "seeds", "how many seeds")
	c.Bool(&o.asJSON, "", "json", "one JSON line a run in place of a table")
}

// variant is a way to decide that is compared with others.
type variant struct {
	name    string
	limited bool
	policy  placement.Policy
	// byName is true if entries do not hear that engines have started again.
	byName bool
}

// variants are the product's way first, then ways without one of its parts.
var variants = []variant{
	{"as built", true, placement.Spread, false},
	{"no limiter", false, placement.Spread, false},
	{"limiter, least loaded", true, placement.LeastLoaded, false},
	{"neither", false, placement.LeastLoaded, false},
}

// emulated is one run as a JSON line.
type emulated struct {
	Variant string `json:"variant"`
	Seed    uint64 `json:"seed"`
	emulator.Result
}

// runEmulate plays a deployment under each variant.
func runEmulate(out io.Writer, o emulateOptions) error {
	d, err := emulator.Load(o.file)
	if err != nil {
		return err
	}
	if o.seeds < 1 || o.seed < 0 {
		return errors.New("emulate: seeds must be 1 or more, seed 0 or more")
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if !o.asJSON {
		fmt.Fprintln(table, "variant\tseed\tshare\tideal\tin time\tlate\tfailed\trefused\ttokens read\tturn p50\tp99 ms")
	}
	played := variants
	if len(d.Restarts) > 0 {
		played = append(slices.Clone(variants), variant{"starts not heard", true, placement.Spread, true})
	}
	for _, v := range played {
		for i := range o.seeds {
			seed := uint64(o.seed + i)
			r := emulator.Run{Deployment: d, Seed: seed, Limited: v.limited, Policy: v.policy, ByName: v.byName}.Play()
			if o.asJSON {
				if err := json.NewEncoder(out).Encode(emulated{v.name, seed, r}); err != nil {
					return errors.Wrap(err, "emulate")
				}
				continue
			}
			fmt.Fprintf(table, "%s\t%d\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
				v.name, seed, r.Share, r.Ideal, r.InTime, r.Late, r.Failed, r.Refused, r.Read, r.TurnP50, r.TurnP99)
		}
	}
	return table.Flush()
}
