// SPDX-License-Identifier: MIT

package emulator

import (
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
)

const (
	// tries is how often a turn is sent, and sends how often each try is, by clients
	// that are refused.
	tries, sends = 3, 2
	// resend lies between two tries of a turn.
	resend = 250 * time.Millisecond
	// defaultRetry is when to come back after a refusal without a time of its own.
	defaultRetry = 400 * time.Millisecond
	// longestRetry is the longest time to come back that clients obey.
	longestRetry = 1300 * time.Millisecond
	// lineTurns is how many turns a line has that runs beside others.
	lineTurns = 2
)

// program is one agent program.
type program struct {
	world *world
	// hash identifies the program.
	hash    uint64
	kind    *Kind
	entry   *entry
	began   time.Duration
	due     time.Duration
	late    time.Duration
	runaway bool
	over    bool
}

// line is a row of turns, each with the context of the one before.
type line struct {
	program *program
	id      int
	// parent is the line that it came from, zero if none; prefix names its shared part.
	parent, prefix, shared int
	// context is its tokens so far, last the engine that served it last.
	context    int
	last       incarnation.ID
	lastTokens int
	left       []step
	// done is called when all turns are answered.
	done func()
}

// step is a turn that is still to come.
type step struct {
	input, output int
	pause         time.Duration
	// beside are lines that run side by side before the next turn.
	beside []*line
}

// turn is a step under way.
type turn struct {
	program        *program
	line           *line
	step           step
	prompt, output int
	sent, tried    int
	began          time.Duration
}

// next takes a line's next turn, or ends the line.
func (l *line) next() {
	p := l.program
	if p.over {
		return
	}
	if len(l.left) == 0 {
		l.done()
		return
	}
	s := l.left[0]
	l.left = l.left[1:]
	t := &turn{program: p, line: l, step: s, prompt: l.context + s.input, output: s.output, began: p.world.clock.now}
	t.send()
}

func (t *turn) send() {
	t.sent++
	w := t.program.world
	w.result.Turns++
	w.clock.after(ms(w.deployment.WayMS/2), func() { t.program.entry.serve(t) })
}

// refused is called when an entry did not run the turn.
func (t *turn) refused(retry time.Duration) {
	if t.sent%sends != 0 {
		t.program.world.clock.after(min(retry, longestRetry), t.send)
		return
	}
	t.failed()
}

// failed is called when a try of the turn has failed.
func (t *turn) failed() {
	t.tried++
	if t.tried >= tries || t.program.over {
		t.program.fail()
		return
	}
	t.sent += t.sent % sends
	t.program.world.clock.after(resend, t.send)
}

// answered goes on with the lines beside and, once they are done, with the next turn.
func (t *turn) answered() {
	l, w := t.line, t.program.world
	l.context = t.prompt + t.output
	w.took(w.clock.now - t.began)
	goOn := func() { w.clock.after(ms(w.deployment.WayMS/2)+t.step.pause, l.next) }
	waiting := len(t.step.beside)
	if waiting == 0 {
		goOn()
		return
	}
	for _, b := range t.step.beside {
		b.last, b.context, b.parent = l.last, l.context, l.id
		b.done = func() {
			if waiting--; waiting == 0 {
				goOn()
			}
		}
		b.next()
	}
}

// ended ends a program whose main line is done.
func (p *program) ended() {
	if p.over {
		return
	}
	p.over = true
	now := p.world.clock.now
	switch {
	case p.runaway:
	case now <= p.due:
		p.world.earn(p, p.kind.Worth)
		p.world.result.InTime++
	case now <= p.late:
		p.world.earn(p, p.kind.LateWorth)
		p.world.result.Late++
	default:
		p.world.result.Failed++
	}
}

func (p *program) fail() {
	if p.over {
		return
	}
	p.over = true
	if !p.runaway {
		p.world.result.Failed++
	}
}
