// SPDX-License-Identifier: MIT

// Command harness runs a small deployment of the platform's program on loopback addresses with stand-ins, and the
// disruption of one case of the review.
package main

import (
	"context"
	_ "embed"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

//go:embed config.json
var configText string

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// runLimit is how long a case may take.
const runLimit = 110 * time.Second

// world is what a case runs in.
type world struct {
	*cluster
	record  *record
	engines []*engine
	// trouble is false if the case runs without its disruption.
	trouble bool
}

// cases are the cases by number. They report how a rule was broken, or "".
var cases = map[string]func(ctx context.Context, w *world) (broken string, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER, at the root of the repository")
		return exitNotRun
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	broken, err := play(root, r, cases[os.Args[1]])
	switch {
	case err != nil:
		r.print("the case could not run: %v", err)
		return exitNotRun
	case broken != "":
		r.print("BROKEN: %s", broken)
		return exitBroken
	}
	r.print("the rule held")
	return exitHeld
}

func play(root string, r *record, c func(context.Context, *world) (string, error)) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	list := &cloud{}
	for zone := range zones {
		list.engines = append(list.engines,
			&engine{id: fmt.Sprintf("i-model-%d", zone), service: "huvo11a", zone: zone, slots: 64, events: 4, pause: 60 * time.Millisecond, record: r},
			&engine{id: fmt.Sprintf("i-plain-%d", zone), service: "wuno96b", zone: zone, slots: 6, work: 80 * time.Millisecond, record: r})
	}
	for _, e := range list.engines {
		if err := e.start(); err != nil {
			return "", err
		}
	}
	if err := list.start(); err != nil {
		return "", err
	}
	cl, err := newCluster(root, list.listener.Addr().String(), r)
	if err != nil {
		return "", err
	}
	defer cl.close()
	if err := cl.startAll(ctx); err != nil {
		return "", err
	}
	r.print("all machines are started")
	return c(ctx, &world{cluster: cl, record: r, engines: list.engines, trouble: os.Getenv("TROUBLE") != "0"})
}
