// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	// calm is how long consumers send requests before the disturbance, and after it. It exceeds a request's time limit.
	calm = 8 * time.Second
	// contact is contactMs: a machine is in touch that long after its start.
	contact = 3 * time.Second
	// engineCount engines serve. For spoilFor, faultyCount of them spoil one answer in spoilEvery: the site's disturbance
	// garble has share 0.35, x 0.02 and for_s 5.5.
	engineCount, faultyCount, spoilEvery = 12, 4, 50
	spoilFor                             = 5500 * time.Millisecond
	// consumersEach is how many consumers use one entry instance.
	consumersEach = 20
	// tolerated is how many such closes the rule allows.
	tolerated = 3
)

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: kit2 CASE ROOT FOLDER")
		os.Exit(exitNotRun)
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	code, summary := exitNotRun, "unknown case"
	trouble := os.Getenv("TROUBLE") != "0"
	switch os.Args[1] {
	case "endless":
		code, summary = runEndless(os.Args[2], rec, trouble)
	case "unread":
		code, summary = runUnread(os.Args[2], rec, trouble)
	case "rolling":
		code, summary = runRolling(os.Args[2], rec, trouble)
	}
	rec.add("%s", summary)
	fmt.Println(summary)
	os.Exit(code)
}

// endless writes bytes that are not an answer at a pace of 50 MB/s, well below the link of an entry instance, until the
// connection is closed or the request's time is over.
func endless(nc net.Conn, until time.Time) {
	const (
		chunk = 256 << 10
		pace  = 50 << 20
	)
	junk := make([]byte, chunk)
	for i := range junk {
		junk[i] = byte('A' + i%26)
	}
	start, sent := time.Now(), 0
	for time.Now().Before(until) {
		n, err := nc.Write(junk)
		if err != nil {
			return
		}
		sent += n
		time.Sleep(time.Until(start.Add(time.Duration(float64(sent) / pace * float64(time.Second)))))
	}
}

// runEndless is the case of engines that send bytes that are not an answer.
func runEndless(root string, rec *record, trouble bool) (code int, summary string) {
	kit := filepath.Join(root, "review", "kit2")
	c, err := newCluster(root, kit, rec)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return exitNotRun, err.Error()
	}
	spoilers := &faults{every: spoilEvery}
	ran := &runs{byID: map[string][]*engine{}}
	for i := range engineCount {
		e := &engine{id: "i-" + strconv.Itoa(i), service: "wuno96b", zone: zones[i%len(zones)], slots: 6, record: rec, runs: ran, spoil: endless}
		if i < faultyCount {
			e.faulty = spoilers
		}
		if err := e.start(fmt.Sprintf("%s%d:0", c.network, 101+i)); err != nil {
			return exitNotRun, err.Error()
		}
		c.list.add(e)
	}
	config, err := os.ReadFile(filepath.Join(kit, "config.json"))
	if err != nil {
		return exitNotRun, err.Error()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	if err := c.configure(ctx, config); err != nil {
		return exitNotRun, err.Error()
	}
	if err := c.awaitReady(ctx); err != nil {
		return exitNotRun, err.Error()
	}
	time.Sleep(contact)
	for _, p := range c.entries {
		go p.watchMemory()
	}
	stop, all, done := make(chan struct{}), &outcomes{}, &sync.WaitGroup{}
	for range consumersEach {
		for _, p := range c.entries {
			done.Add(1)
			go (&consumer{entry: p, record: rec, outcomes: all, path: "/pule252/2f", stop: stop}).run(done)
		}
	}
	time.Sleep(calm)
	spoilers.active.Store(trouble)
	rec.add("the disturbance begins: %v", trouble)
	time.Sleep(spoilFor)
	spoilers.active.Store(false)
	rec.add("the disturbance ends")
	time.Sleep(calm)
	close(stop)
	done.Wait()
	return judgeLost(c, all, ran)
}

// judgeLost counts the requests that an entry instance took from a kept connection and handed to a sound engine, and
// whose connection it then closed without an answer.
func judgeLost(c *cluster, all *outcomes, ran *runs) (code int, summary string) {
	lost, answered, other := 0, 0, 0
	for _, o := range all.list {
		switch {
		case o.err == nil:
			answered++
		case o.kept && ran.soundly(o.id):
			lost++
		default:
			other++
		}
	}
	kills, peaks := 0, ""
	for _, p := range c.entries {
		p.mu.Lock()
		kills += p.memoryKills
		peaks += fmt.Sprintf(" %d MB", p.peakKB/1024)
		p.mu.Unlock()
	}
	summary = fmt.Sprintf("%d requests answered; %d taken from kept connections, handed to sound engines and closed without an answer (%d are allowed); %d others without an answer; %d kills for memory; peaks%s",
		answered, lost, tolerated, other, kills, peaks)
	if lost > tolerated {
		return exitBroken, "LOST is broken: " + summary
	}
	return exitHeld, "the rule held: " + summary
}
