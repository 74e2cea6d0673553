// SPDX-License-Identifier: MIT

// Command rockctl is the operators' command line: typed calls of the schema.
//
//	rockctl status
//	rockctl apply -f deployment.toml --dry-run
//	rockctl explain east.0123456789abcdef01234567
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

// flags are the options of all subcommands.
type flags struct {
	address   string
	ca        string
	cert      string
	key       string
	output    string
	commandID string
	expect    uint64
	file      string
	dryRun    bool
	prune     bool
	since     string
	operator  string
	subject   string
	dir       string
	role      string
	days      int
	args      [2]string
}

// command is one subcommand.
type command struct {
	name, help string
	// args names the positional values.
	args []string
	// options adds the flags that only this subcommand has.
	options func(*flaggy.Subcommand, *flags)
	run     func(context.Context, *session) error
}

var commands = []command{
	{name: "status", help: "show all instances, what they own and which version they have", run: showStatus},
	{name: "get", help: "show the configuration in force", run: get},
	{name: "watch", help: "show each version as it comes into force", run: watch},
	{name: "apply", help: "bring a file's objects into the configuration, after showing the difference", options: applyOptions, run: apply},
	{name: "remove", help: "remove an object; KIND is customer, model, endpoint, program, service, binding or withdrawal", args: []string{"KIND", "NAME"}, options: commandOptions, run: remove},
	{name: "drain", help: "let an instance, an endpoint or a failure domain finish and take nothing new", args: []string{"SUBJECT"}, options: commandOptions, run: drain},
	{name: "fence", help: "give up an instance or a failure domain for good", args: []string{"SUBJECT"}, options: commandOptions, run: fence},
	{name: "restore", help: "take back a drain or a fence", args: []string{"SUBJECT"}, options: commandOptions, run: restore},
	{name: "explain", help: "show where each turn of a run ran, under which version and why", args: []string{"RUN"}, run: explain},
	{name: "audit", help: "show the audit trail", options: auditOptions, run: audit},
	{name: "customers", help: "show customers, their keys' digests and what they have used; --address is a control instance's peer address", run: showCustomers},
	{name: "speeds", help: "show endpoints with their decoding time per token, calls and failures; --address is a control instance's peer address", run: showSpeeds},
	{name: "suspects", help: "show requests under which endpoints ended, with their evidence; --address is a control instance's peer address", run: showSuspects},
	{name: "clear-suspect", help: "let a request be sent again that is refused because endpoints ended under it; --address as for suspects", args: []string{"KEY"}, run: clearSuspect},
	{name: "keys-init", help: "make a development authority in a folder", options: keysOptions, run: keysInit},
	{name: "keys-issue", help: "issue a certificate of the authority in a folder", args: []string{"NAME"}, options: keysOptions, run: keysIssue},
	{name: "keys-hash", help: "print how a caller's bearer key is stored", args: []string{"KEY"}, run: keysHash},
}

func main() {
	f := &flags{address: "127.0.0.1:9091", output: "table", role: "operator", days: 365, dir: "keys"}
	flaggy.SetName("rockctl")
	flaggy.SetDescription("operates rockbarrow; exit codes: 0 done, 1 failed, 2 usage, 3 invalid, 4 conflict, 5 unavailable, 6 undetermined, 7 not permitted, 8 not found")
	flaggy.SetVersion(version)
	flaggy.String(&f.address, "a", "address", "host:port of any instance's operator port")
	flaggy.String(&f.ca, "", "ca", "the authority's certificate; none speaks without TLS")
	flaggy.String(&f.cert, "", "cert", "the own certificate")
	flaggy.String(&f.key, "", "key", "the own key")
	flaggy.String(&f.output, "o", "output", "table or json")
	subs := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		s := flaggy.NewSubcommand(c.name)
		s.Description = c.help
		for n, name := range c.args {
			s.AddPositionalValue(&f.args[n], name, n+1, true, "")
		}
		if c.options != nil {
			c.options(s, f)
		}
		flaggy.AttachSubcommand(s, 1)
		subs[i] = s
	}
	flaggy.Parse()
	for i, s := range subs {
		if s.Used {
			os.Exit(execute(commands[i], f))
		}
	}
	flaggy.ShowHelpAndExit("")
}

// execute runs a subcommand and returns the exit code.
func execute(c command, f *flags) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	s, closeSession, err := open(f)
	if err == nil {
		defer closeSession()
		err = c.run(ctx, s)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "rockctl:", describe(err))
	}
	return exitCode(err)
}

func commandOptions(s *flaggy.Subcommand, f *flags) {
	s.String(&f.commandID, "", "command-id", "send again under the same id to learn a lost outcome; drawn if empty")
	s.UInt64(&f.expect, "", "expect", "the version that must be in force; 0 accepts any")
	s.Bool(&f.dryRun, "", "dry-run", "check and change nothing")
}

func applyOptions(s *flaggy.Subcommand, f *flags) {
	commandOptions(s, f)
	s.String(&f.file, "f", "file", "a TOML file of objects, in the form of the document")
	s.Bool(&f.prune, "", "prune", "also remove objects that the file does not name")
}

func auditOptions(s *flaggy.Subcommand, f *flags) {
	s.String(&f.since, "", "since", "a time such as 2026-12-02T10:00:00Z, or a span such as 2h")
	s.String(&f.operator, "", "operator", "only this operator's commands")
	s.String(&f.subject, "", "subject", "only commands that touch this object")
}

func keysOptions(s *flaggy.Subcommand, f *flags) {
	s.String(&f.dir, "d", "dir", "the authority's folder")
	s.String(&f.role, "", "role", "instance, operator or reader")
	s.Int(&f.days, "", "days", "how long the certificate is valid")
}
