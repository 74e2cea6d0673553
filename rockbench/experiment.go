// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/schollz/progressbar/v3"

	"rockbarrow.dev/rockbench/experiment"
)

// runExperiment runs a scenario file and writes its report into a folder.
func runExperiment(ctx context.Context, out io.Writer, file, dir string) error {
	s, err := experiment.Load(file)
	if err != nil {
		return err
	}
	total := len(s.Seeds) * len(s.Rates) * len(s.Policies)
	bar := progressbar.NewOptions(total, progressbar.OptionSetWriter(os.Stderr), progressbar.OptionSetDescription(s.Name))
	var results []*experiment.Result
	for _, seed := range s.Seeds {
		for _, rate := range s.Rates {
			for _, policy := range s.Policies {
				r, err := experiment.Run(ctx, s, policy, rate, seed)
				if err != nil {
					return err
				}
				results = append(results, r)
				_ = bar.Add(1)
			}
		}
	}
	fmt.Fprintln(out)
	if err := experiment.Table(out, results); err != nil {
		return err
	}
	return experiment.Write(dir, results)
}
