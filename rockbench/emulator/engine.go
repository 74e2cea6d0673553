// SPDX-License-Identifier: MIT

package emulator

import "time"

// call is one turn at an engine.
type call struct {
	line *line
	// prompt and output are its tokens; read are those of the prompt that are ready,
	// made those that were generated.
	prompt, output, read, made int
	// first is called with the first token, ended with the last, lost if neither comes.
	first, ended, lost func()
}

func (c *call) context() int { return c.read + c.made }

// engine runs calls in a batch.
type engine struct {
	deployment *Engine
	clock      *clock
	name       string
	cache      cache
	running    []*call
	queue      []*call
	stepping   bool
	// speed is the engine's own multiple of the time of a step, slow that of a fault.
	speed, slow float64
	// down is true between two lives.
	down bool
	// tokens counts the prompt tokens that were read.
	tokens int
}

// offer takes a call, or reports that the queue is full.
func (e *engine) offer(c *call) bool {
	if len(e.running) >= e.deployment.Slots && len(e.queue) >= e.deployment.Queue {
		return false
	}
	e.queue = append(e.queue, c)
	e.wake()
	return true
}

// drop forgets a call whose client has left.
func (e *engine) drop(c *call) {
	for _, list := range []*[]*call{&e.queue, &e.running} {
		for i, o := range *list {
			if o == c {
				*list = append((*list)[:i:i], (*list)[i+1:]...)
				return
			}
		}
	}
}

func (e *engine) wake() {
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

// step admits calls, reads a piece of one prompt and generates one token of each call
// whose prompt is read.
func (e *engine) step() {
	e.admit()
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	d := e.deployment
	var took float64
	context, decoding := 0, 0
	piece := d.Piece
	for _, c := range e.running {
		if lacking := c.prompt - c.read; lacking > 0 && piece > 0 {
			n := min(lacking, piece)
			c.read += n
			piece -= n
			e.tokens += n
			took += float64(n) / d.ReadPerMS
		}
		if c.read == c.prompt {
			decoding++
		}
		context += c.context()
	}
	if decoding > 0 {
		took += d.StepMS + d.StepPerCallMS*float64(decoding) + d.StepPerKMS*float64(context)/1000
	}
	e.clock.after(ms(took*e.speed*e.slow), e.stepped)
}

func (e *engine) stepped() {
	keep := e.running[:0]
	var events []func()
	for _, c := range e.running {
		if c.read == c.prompt {
			c.made++
			if c.made == 1 {
				events = append(events, c.first)
			}
		}
		if c.made < c.output {
			keep = append(keep, c)
			continue
		}
		e.cache.keep(c.line, c.context())
		events = append(events, c.ended)
	}
	e.running = keep
	for _, do := range events {
		do()
	}
	e.step()
}

// admit moves calls from the queue into the batch while there are slots and memory.
func (e *engine) admit() {
	for len(e.queue) > 0 && len(e.running) < e.deployment.Slots {
		c := e.queue[0]
		used := 0
		for _, o := range e.running {
			used += o.prompt + o.output
		}
		if len(e.running) > 0 && used+c.prompt+c.output > e.deployment.CacheTokens {
			return
		}
		e.queue = e.queue[1:]
		c.read = min(c.prompt, e.cache.find(c.line))
		e.running = append(e.running, c)
		e.cache.shrink(e.deployment.CacheTokens - used - c.prompt - c.output)
	}
}

// cache is the prefixes that an engine keeps, the ones used longest ago first to go.
type cache struct {
	byLine map[int]*kept
	// shared are the shared parts, by kind and text.
	shared map[int]*kept
	tokens int
	clock  uint64
}

type kept struct {
	tokens int
	used   uint64
}

// find returns how many tokens of a line's prompt are kept: its own, those of the line
// that it came from, or the shared part.
func (c *cache) find(l *line) int {
	c.clock++
	for _, id := range []int{l.id, l.parent} {
		if k := c.byLine[id]; k != nil {
			k.used = c.clock
			return k.tokens
		}
	}
	if k := c.shared[l.prefix]; k != nil {
		k.used = c.clock
		return k.tokens
	}
	return 0
}

// keep keeps a line's context and its shared part.
func (c *cache) keep(l *line, tokens int) {
	c.clock++
	c.put(&c.byLine, l.id, tokens)
	c.put(&c.shared, l.prefix, l.shared)
}

func (c *cache) put(m *map[int]*kept, id, tokens int) {
	if *m == nil {
		*m = map[int]*kept{}
	}
	if old := (*m)[id]; old != nil {
		c.tokens -= old.tokens
	}
	(*m)[id] = &kept{tokens: tokens, used: c.clock}
	c.tokens += tokens
}

// shrink drops what was used longest ago until no more than so many tokens are kept.
func (c *cache) shrink(most int) {
	for c.tokens > max(0, most) {
		var from map[int]*kept
		oldest, id := uint64(1<<63), 0
		for _, m := range []map[int]*kept{c.byLine, c.shared} {
			for i, k := range m {
				if k.used < oldest || k.used == oldest && i < id {
					from, oldest, id = m, k.used, i
				}
			}
		}
		if from == nil {
			return
		}
		c.tokens -= from[id].tokens
		delete(from, id)
	}
}

// idle is the time of a turn at an idle engine.
func (d *Engine) idle(read, output int) time.Duration {
	return ms(float64(read)/d.ReadPerMS + float64(output)*(d.StepMS+d.StepPerCallMS))
}
