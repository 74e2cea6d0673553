// SPDX-License-Identifier: MIT

// Command rockbarrow is the daemon of one instance.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/asynclog"
	"rockbarrow.dev/rockbarrow/daemon"
	"rockbarrow.dev/rockbarrow/settings"
)

// version is the release that this build belongs to.
const version = "0.1.0"

// The exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	// The reader of its logs may go away and come back; that must not end an instance.
	signal.Ignore(syscall.SIGPIPE)
	var file string
	flaggy.SetName("rockbarrow")
	flaggy.SetDescription("schedules agent programs where their data may be processed")
	flaggy.SetVersion(version)
	run := flaggy.NewSubcommand("run")
	run.Description = "serve as the instance that a settings file describes"
	run.AddPositionalValue(&file, "FILE", 1, true, "the settings file")
	check := flaggy.NewSubcommand("check-config")
	check.Description = "check a settings file and start nothing"
	check.AddPositionalValue(&file, "FILE", 1, true, "the settings file")
	flaggy.AttachSubcommand(run, 1)
	flaggy.AttachSubcommand(check, 1)
	flaggy.Parse()
	switch {
	case check.Used:
		os.Exit(checkConfig(file))
	case run.Used:
		os.Exit(serve(file))
	}
	flaggy.ShowHelpAndExit("")
}

func load(file string) (*settings.Settings, error) {
	s, err := settings.Load(file)
	if err != nil {
		return nil, err
	}
	return s, daemon.Check(s)
}

func checkConfig(file string) int {
	if _, err := load(file); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", file, err)
		return exitSettings
	}
	fmt.Println("ok")
	return 0
}

func serve(file string) int {
	s, err := load(file)
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", file, err)
		return exitSettings
	}
	log := logrus.New()
	log.SetFormatter(&logrus.JSONFormatter{})
	out, flush := asynclog.New(os.Stderr)
	defer flush()
	log.SetOutput(out)
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		log.SetLevel(level)
	}
	entry := log.WithField("instance", s.Instance).WithField("failure_domain", s.Domain)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d := daemon.Daemon{Settings: s, Log: entry}
	if err := d.Run(ctx); err != nil {
		entry.WithField("stack", fmt.Sprintf("%+v", errors.WithStack(err))).WithError(err).Error("failed")
		return exitFailed
	}
	return 0
}
