// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

const (
	// programsPerSecond is the rate at which programs begin.
	programsPerSecond = 60
	// restartDelay is the time until a killed process is started again.
	restartDelay = time.Second
	// minToolTime and maxToolTime bound the time between two turns of a program.
	minToolTime, maxToolTime = 200 * time.Millisecond, 1200 * time.Millisecond
)

func init() { cases["3"] = deniedDuringViewChange }

// deniedDuringViewChange has a store machine emptied and removed, adds another one and kills the process of a third while
// the new one copies. No turn may get 404 whose previous turn was answered whole.
func deniedDuringViewChange(ctx context.Context, w *world) (string, error) {
	stores, entries := w.of(storeRole), w.of(entryRole)
	load := &load{world: w, entries: entries}
	load.begin(ctx)
	time.Sleep(2 * time.Second)
	if err := w.retire(ctx, stores[0]); err != nil {
		return "", err
	}
	w.record.print("%s is emptied and removed", stores[0].name())
	time.Sleep(6 * time.Second)
	added := w.add(storeRole, 0, 2)
	if err := added.start(false); err != nil {
		return "", err
	}
	w.record.print("%s is added", added.name())
	if w.trouble {
		stores[1].signal(syscall.SIGKILL)
		<-stores[1].exited
		w.record.print("the process of %s is killed", stores[1].name())
		time.Sleep(restartDelay)
		if err := stores[1].start(false); err != nil {
			return "", err
		}
		w.record.print("%s is started again", stores[1].name())
	}
	time.Sleep(6 * time.Second)
	load.end()
	return load.verdict(), nil
}

// load is a number of programs whose turns come in through different machines.
type load struct {
	world   *world
	entries []*machine
	stop    chan struct{}
	running sync.WaitGroup

	mu             sync.Mutex
	done, programs int
	denied         []attempt
}

func (l *load) begin(ctx context.Context) {
	l.stop = make(chan struct{})
	l.running.Add(1)
	go l.run(ctx)
}

func (l *load) run(ctx context.Context) {
	defer l.running.Done()
	t := time.NewTicker(time.Second / programsPerSecond)
	defer t.Stop()
	for i := 0; ; i++ {
		select {
		case <-t.C:
			l.running.Add(1)
			go l.runProgram(ctx, fmt.Sprintf("p%05d", i))
		case <-l.stop:
			return
		}
	}
}

// runProgram runs a program of a few turns, each through another zone than the one before.
func (l *load) runProgram(ctx context.Context, name string) {
	defer l.running.Done()
	p := &program{name: name, record: l.world.record}
	zone := rand.N(len(l.entries))
	turns := 0
	for range 4 {
		if !p.turn(ctx, l.entries[zone], fmt.Appendf(nil, "%s turn %d %05000d\n", name, turns, 0)) {
			break
		}
		turns++
		zone = (zone + 1 + rand.N(len(l.entries)-1)) % len(l.entries)
		// The tools of the program take some time.
		time.Sleep(minToolTime + rand.N(maxToolTime-minToolTime))
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.programs++
	l.done += turns
	l.denied = append(l.denied, p.denied...)
}

func (l *load) end() {
	close(l.stop)
	l.running.Wait()
}

func (l *load) verdict() string {
	l.world.record.print("%d programs, %d turns answered whole, %d turns got 404 or 410", l.programs, l.done, len(l.denied))
	for _, a := range l.denied {
		l.world.record.print("turn %s at %s got %d, its previous turn %s was answered whole", a.id, a.entry.name(), a.status, a.previous)
	}
	if len(l.denied) > 0 {
		return "turns got 404 although their previous turns were answered whole"
	}
	return ""
}
