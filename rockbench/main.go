// SPDX-License-Identifier: MIT

// Command rockbench runs the product against its stand-ins: a demo, faults,
// experiments and the slopes behind docs/CAPACITY.md.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// version is the release that this build belongs to.
const version = "0.1.0"

func main() {
	flaggy.SetName("rockbench")
	flaggy.SetDescription("runs rockbarrow against stand-ins of the systems it serves")
	flaggy.SetVersion(version)
	demoCmd := flaggy.NewSubcommand("demo")
	demoCmd.Description = "run agent programs through 8 daemons, kill an owner, check the promises"
	slopesCmd := flaggy.NewSubcommand("slopes")
	slopesCmd.Description = "measure the slopes behind docs/CAPACITY.md"
	flaggy.AttachSubcommand(demoCmd, 1)
	faultsCmd := flaggy.NewSubcommand("faults")
	faultsCmd.Description = "kill, freeze, cut off and restart daemons under load, check the promises"
	var only string
	faultsCmd.String(&only, "", "only", "run only trials whose name holds this")
	flaggy.AttachSubcommand(slopesCmd, 1)
	experimentCmd := flaggy.NewSubcommand("experiment")
	experimentCmd.Description = "run a scenario file under several policies and write a report"
	file, dir := "", "out"
	experimentCmd.AddPositionalValue(&file, "FILE", 1, true, "the scenario, such as rockbench/scenarios/trakfelt.toml")
	experimentCmd.String(&dir, "d", "dir", "the folder for the report")
	soakCmd := flaggy.NewSubcommand("soak")
	soakCmd.Description = "run real processes of the platform's program under random faults, check the promises"
	soakRun := soakOptions{seed: 1, seeds: 1, seconds: 20, programs: 8, entries: 2, domains: 4, callers: 4, stores: 1, tolerance: 1}
	soakRun.add(soakCmd)
	flaggy.AttachSubcommand(soakCmd, 1)
	emulateCmd := flaggy.NewSubcommand("emulate")
	emulateCmd.Description = "play a deployment of model engines in simulated time, with and without parts of the policy"
	emulateRun := emulateOptions{seed: 1, seeds: 1}
	emulateRun.add(emulateCmd)
	flaggy.AttachSubcommand(emulateCmd, 1)
	patternsCmd := flaggy.NewSubcommand("patterns")
	patternsCmd.Description = "play the patterns of load in simulated time, beside who knows how long everything takes"
	patternsRun := patternsOptions{seed: 1, seeds: 3}
	patternsRun.add(patternsCmd)
	flaggy.AttachSubcommand(patternsCmd, 1)
	quotasCmd := flaggy.NewSubcommand("quotas")
	quotasCmd.Description = "play the ways of letting customers' requests in, in simulated time"
	quotasRun := quotasOptions{seed: 1, seeds: 3}
	quotasRun.add(quotasCmd)
	flaggy.AttachSubcommand(quotasCmd, 1)
	requestsCmd := flaggy.NewSubcommand("requests")
	requestsCmd.Description = "tell from logs of entry instances how requests ended, why, and where their time went"
	logFile := ""
	requestsCmd.AddPositionalValue(&logFile, "FILE", 1, true, "the log lines, or - for standard input")
	flaggy.AttachSubcommand(requestsCmd, 1)
	flaggy.AttachSubcommand(faultsCmd, 1)
	flaggy.AttachSubcommand(experimentCmd, 1)
	flaggy.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	switch {
	case demoCmd.Used:
		err = demo(ctx, os.Stdout)
	case experimentCmd.Used:
		err = runExperiment(ctx, os.Stdout, file, dir)
	case faultsCmd.Used:
		err = faults(ctx, os.Stdout, only)
	case emulateCmd.Used:
		err = runEmulate(os.Stdout, emulateRun)
	case patternsCmd.Used:
		err = runPatterns(os.Stdout, patternsRun)
	case quotasCmd.Used:
		err = runQuotas(os.Stdout, quotasRun)
	case requestsCmd.Used:
		err = runRequests(os.Stdout, logFile)
	case soakCmd.Used:
		err = runSoak(ctx, os.Stdout, soakRun)
	case slopesCmd.Used:
		err = slopes(ctx, os.Stdout)
	default:
		flaggy.ShowHelpAndExit("")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rockbench:", err)
		stop()
		os.Exit(1)
	}
}
