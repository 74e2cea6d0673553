// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

const (
	// recoverTime is the bound recoverS of the pages, and lastPart the time at its end in which turns are judged.
	recoverTime, lastPart = 12 * time.Second, 4 * time.Second
	// afterRecover is for how long after recoverTime requests are judged.
	afterRecover = 4 * time.Second
	// askInterval is how often each program asks for its next turn.
	askInterval = 500 * time.Millisecond
	// diskDown is how long a machine is down that loses its disk.
	diskDown = 1200 * time.Millisecond
)

// beginPrograms runs the first turns of up to n programs until ctx ends, and returns the programs whose turn was answered
// whole.
func (w *world) beginPrograms(ctx context.Context, n int, name string) []*program {
	entries := w.of(entryRole)
	var out []*program
	for i := range n {
		if ctx.Err() != nil {
			break
		}
		p := &program{name: fmt.Sprintf("%s-%d", name, i), record: w.record}
		if p.turn(ctx, entries[i%len(entries)], fmt.Appendf(nil, "%s turn 0\n", p.name)) {
			out = append(out, p)
		}
	}
	return out
}

// judgeAfterFinalFault lets each program ask for its next turn until some time after recoverTime, and others for first turns.
// LOST is broken if no attempt of a program in the last part of recoverTime reached an engine, RECOVER if less than a
// quarter of the requests sent after recoverTime is served.
func (w *world) judgeAfterFinalFault(ctx context.Context, lines []*program) string {
	back := time.Now()
	var mu sync.Mutex
	late, lateServed, denied := 0, 0, 0
	reached, asked := make([]int, len(lines)), make([]int, len(lines))
	var running sync.WaitGroup
	ask := func(i int, p *program, isNext bool) {
		defer running.Done()
		entries, input := w.of(entryRole), []byte("turn\n")
		for n := i; time.Since(back) < recoverTime+afterRecover; n++ {
			sent := time.Since(back)
			a := p.send(ctx, entries[n%len(entries)], input, timeLimit)
			served := a.status == http.StatusOK && a.whole
			mu.Lock()
			switch {
			case sent > recoverTime && served:
				late, lateServed = late+1, lateServed+1
			case sent > recoverTime:
				late++
			case isNext && sent > recoverTime-lastPart:
				asked[i]++
				if w.hasRun(a.id) {
					reached[i]++
				}
			}
			mu.Unlock()
			if served && isNext {
				p.accept(a, input)
			}
			time.Sleep(askInterval)
		}
	}
	for i, p := range lines {
		running.Add(2)
		go ask(i, p, true)
		go ask(i, &program{name: fmt.Sprintf("new-%d", i), record: w.record}, false)
	}
	running.Wait()
	lost := 0
	for i, p := range lines {
		w.record.print("program %s: %d of %d attempts in the last %v of recoverS reached an engine", p.name, reached[i], asked[i], lastPart)
		if reached[i] == 0 && asked[i] > 0 {
			lost++
		}
		denied += len(p.denied)
	}
	w.record.print("%d of %d requests sent more than recoverS after the machines were back were served", lateServed, late)
	var broken []string
	if lost+denied > 0 {
		broken = append(broken, fmt.Sprintf("LOST, %d of %d turns that were answered whole reach no engine after a final fault with one lost disk", max(lost, denied), len(lines)))
	}
	if 4*lateServed < late {
		broken = append(broken, "RECOVER, less than a quarter is served after recoverS")
	}
	return strings.Join(broken, "; ")
}

// hasRun reports whether an engine has run an attempt.
func (w *world) hasRun(id string) bool {
	for _, e := range w.engines {
		e.mu.Lock()
		n := e.runs[id]
		e.mu.Unlock()
		if n > 0 {
			return true
		}
	}
	return false
}

// loseDisk ends the process of a machine and removes its data.
func (w *world) loseDisk(m *machine) error {
	m.kill()
	return os.RemoveAll(filepath.Join(w.dir, m.name()))
}
