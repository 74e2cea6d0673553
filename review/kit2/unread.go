// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

const (
	// drainLimit is drainMs, and lag is lagMs, by which the platform's list may run behind.
	drainLimit, lag = 3 * time.Second, 800 * time.Millisecond
	// serveOn is how long a leaving engine serves on after it is listed as draining: drainMs and a little more.
	serveOn = drainLimit + 5*time.Second
	// releaseGap is gap_s of a release, one engine at a time.
	releaseGap = time.Second
	// servedCount is the number of engines, which are all replaced.
	servedCount = 4
)

// unreadable is a list entry with bytes that can't be read, as another writer may leave it.
const unreadable = "{\"id\":\"\x01\x02\xfe\xff\",\"service\":\"\x03\"}"

// startEngine starts an engine and lists it as ready.
func (c *cluster) startEngine(i int, ran *runs) (*engine, error) {
	e := &engine{id: "i-" + strconv.Itoa(i), service: "wuno96b", zone: zones[i%len(zones)], slots: 6, record: c.record, runs: ran}
	if err := e.start(fmt.Sprintf("%s%d:0", c.network, 101+i)); err != nil {
		return nil, err
	}
	c.list.add(e)
	c.record.add("%s is listed as ready", e.id)
	return e, nil
}

// runUnread is the case of an entry of the platform's list that can't be read, while the engines of a service are replaced.
func runUnread(root string, rec *record, trouble bool) (code int, summary string) {
	kit := filepath.Join(root, "review", "kit2")
	c, err := newCluster(root, kit, rec)
	if c != nil {
		defer c.stop()
	}
	if err != nil {
		return exitNotRun, err.Error()
	}
	ran := &runs{byID: map[string][]*engine{}}
	var old []*engine
	for i := range servedCount {
		e, err := c.startEngine(i, ran)
		if err != nil {
			return exitNotRun, err.Error()
		}
		old = append(old, e)
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
	stop, all, done := make(chan struct{}), &outcomes{}, &sync.WaitGroup{}
	for range 3 {
		for _, p := range c.entries {
			done.Add(1)
			go (&consumer{entry: p, record: rec, outcomes: all, path: "/pule252/2f", stop: stop}).run(done)
		}
	}
	time.Sleep(contact)
	if trouble {
		c.list.addForeign(unreadable)
		rec.add("the list has an entry that can't be read")
	}
	time.Sleep(contact)
	released := time.Now()
	for i, e := range old {
		if _, err := c.startEngine(servedCount+i, ran); err != nil {
			return exitNotRun, err.Error()
		}
		e.drain()
		rec.add("%s is listed as draining", e.id)
		time.AfterFunc(serveOn, func() {
			c.list.remove(e)
			e.server.Close()
			rec.add("%s has ended and is not listed", e.id)
		})
		time.Sleep(releaseGap)
	}
	time.Sleep(serveOn + timeLimit)
	close(stop)
	done.Wait()
	return judgeDrain(old, all, released.Add(servedCount*releaseGap+serveOn))
}

// judgeDrain counts the requests that reached a leaving engine later than drainMs after the platform's list showed it.
func judgeDrain(old []*engine, all *outcomes, replaced time.Time) (code int, summary string) {
	late, served, refused := 0, 0, 0
	for _, e := range old {
		late += e.arrivedLate()
	}
	for _, o := range all.list {
		switch {
		case o.sentAt.Before(replaced):
		case o.err == nil && o.status < 300:
			served++
		default:
			refused++
		}
	}
	summary = fmt.Sprintf("%d requests reached a leaving engine more than %v after the list showed it; once all were replaced, %d requests were served and %d were not",
		late, drainLimit+lag, served, refused)
	switch {
	case served+refused == 0:
		return exitNotRun, "too few requests: " + summary
	case late > 0:
		return exitBroken, "DRAIN is broken: " + summary
	}
	return exitHeld, "the rule held: " + summary
}
