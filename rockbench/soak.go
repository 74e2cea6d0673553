// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"sort"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"rockbarrow.dev/rockbench/soak"
)

// mostPrinted bounds the broken promises that are printed of a seed; the count tells of the rest.
const mostPrinted = 20

// soakOptions are those of the command line.
type soakOptions struct {
	seed, seeds, seconds, programs, entries, domains, control, callers, operators, stores, tolerance, rounds int
	copySeconds                                                                                              float64
	noCustomers, plainDocuments, small                                                                       bool
	before, program                                                                                          string
}

func (o *soakOptions) add(c *flaggy.Subcommand) {
	c.Int(&o.seed, "", "seed", "the first seed")
	c.Int(&o.seeds, "", "seeds", "how many seeds, one after another")
	c.Int(&o.seconds, "", "seconds", "how long faults come under each seed")
	c.Int(&o.programs, "", "programs", "how many programs run at a time")
	c.Int(&o.entries, "", "entries", "entry instances in each failure domain")
	c.Int(&o.domains, "", "domains", "failure domains, three at least")
	c.Int(&o.control, "", "control", "control instances, one in each failure domain at least")
	c.Int(&o.stores, "", "stores", "store instances in each failure domain")
	c.Int(&o.tolerance, "", "tolerance", "instances that may be lost at a time, whose disks the final loss takes")
	c.Int(&o.rounds, "", "rounds", "rounds of stores that are replaced before the final loss; 0 for what the seed draws")
	c.Float64(&o.copySeconds, "", "copy-seconds", "with rounds: how long a copy of the largest store's records takes over its link, 0 for links as they are")
	c.Bool(&o.small, "", "small", "settings of small machines for all instances")
	c.Int(&o.callers, "", "callers", "clients of each entry instance whose requests planned stops may not lose, which come in series then; 0 for neither")
	c.Int(&o.operators, "", "operators", "operators that lose answers and work beside each other, with faults that follow events of theirs; 0 for one careful operator")
	c.Bool(&o.noCustomers, "", "no-customers", "leave out customers, with which each entry instance follows all control instances")
	c.Bool(&o.plainDocuments, "", "plain-documents", "leave out fields of other writers in configurations, which earlier versions obey")
	c.String(&o.program, "", "program", "a program that all instances run in place of this build, such as one of an earlier version")
	c.String(&o.before, "", "before", "a program of the version before, which all instances begin with and are upgraded from")
}

// runSoak plays seeds and keeps the folder of each that broke a promise.
func runSoak(ctx context.Context, out io.Writer, o soakOptions) error {
	failed := 0
	for i := range o.seeds {
		broken, err := soakOnce(ctx, out, o, uint64(o.seed+i))
		if err != nil {
			return err
		}
		failed += broken
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	fmt.Fprintf(out, "%d seeds, %d with a broken promise\n", o.seeds, failed)
	if failed > 0 {
		return errors.Errorf("%d seeds broke a promise", failed)
	}
	return nil
}

func soakOnce(ctx context.Context, out io.Writer, o soakOptions, seed uint64) (broken int, err error) {
	dir, err := os.MkdirTemp("", "rockbarrow-soak-")
	if err != nil {
		return 0, errors.Wrap(err, "soak: folder")
	}
	report, err := soak.Run(ctx, soak.Config{
		Seed: seed, Last: time.Duration(o.seconds) * time.Second, Programs: o.programs, EntriesEach: o.entries, Domains: o.domains, Control: o.control, StoresEach: o.stores, Tolerance: o.tolerance, Small: o.small, Callers: o.callers, Operators: o.operators, Rounds: o.rounds, CopySeconds: o.copySeconds, NoCustomers: o.noCustomers, Before: o.before, Program: o.program, PlainDocuments: o.plainDocuments, Dir: dir, Out: out,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "soak: seed %d, logs in %s", seed, dir)
	}
	fmt.Fprintf(out, "seed %d:", seed)
	var names []string
	for name := range report.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(out, " %d %s,", report.Counts[name], name)
	}
	fmt.Fprintf(out, " %d promises broken\n", len(report.Broken))
	if len(report.Broken) == 0 {
		return 0, os.RemoveAll(dir)
	}
	for _, b := range report.Broken[:min(len(report.Broken), mostPrinted)] {
		fmt.Fprintln(out, "  ", b)
	}
	fmt.Fprintln(out, "  logs and disks in", dir)
	return 1, nil
}
