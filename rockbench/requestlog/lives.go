// SPDX-License-Identifier: MIT

package requestlog

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Step is what an instance reaches after its start, by the message that it logs.
type Step string

// The steps, in the order of the table.
const (
	StepState Step = "a newer state is in force"
	StepList  Step = "a newer list of endpoints is in force"
	StepReady Step = "readiness has changed"
)

// The messages of a process that begins, ends as it was told to, and ends over an error.
const (
	start   = "starting"
	stopped = "stopped"
	failed  = "failed"
)

// end is how a life ended.
type end int

// The ends, in the order of the table.
const (
	// running has no end in the log.
	running end = iota
	// inOrder was stopped.
	inOrder
	// withError says in the log why it ended.
	withError
	// silent was followed by another life of the instance without a word about its end: it
	// was killed, lost its power, or died by a signal that nobody meant for it.
	silent
	ends
)

// waveGap is the longest pause between two starts of one wave. Processes that lose power
// together start within 0.3 s; a rolling restart takes them seconds apart.
const waveGap = 700 * time.Millisecond

// Event is one line of an instance about itself.
type Event struct {
	// At is the time of the line, by the collector's stamp before the line or else by
	// the instance's own.
	At             time.Duration
	Instance, Role string
	Message        string
	// Ready goes with StepReady.
	Ready bool
	// Call and Status are of an operator's call, ConfigVersion and State of a configuration and a state.
	Call                 string
	Status               int
	ConfigVersion, State uint64
	// Table is the beginning of the digest of a configuration's routing table.
	Table string
	// Endpoint and BornMS are an endpoint that ended, InProgress how many requests it had, and Keys those of some of them.
	Endpoint   string
	BornMS     uint64
	InProgress int
	Keys       []string
	// Lines is how many log lines were dropped.
	Lines int
}

// Lives tells how long instances took from their starts to each step. Add events in the
// order of their times. The zero value is ready.
type Lives struct {
	waves []*wave
	// current is each instance's newest life.
	current map[string]*life
}

// wave is instances that started together.
type wave struct {
	last  time.Duration
	lives []*life
}

type life struct {
	role    string
	begun   time.Duration
	reached map[Step]time.Duration
	end     end
}

// Add takes an event.
func (t *Lives) Add(e Event) {
	switch s := Step(e.Message); {
	case e.Message == start:
		t.begin(e)
	case e.Message == stopped:
		t.finish(e, inOrder)
	case e.Message == failed:
		t.finish(e, withError)
	case s == StepState, s == StepList, s == StepReady && e.Ready:
		l := t.current[e.Instance]
		if l == nil {
			return
		}
		if _, ok := l.reached[s]; !ok {
			l.reached[s] = e.At - l.begun
		}
	}
}

// finish notes an end. A process that fails may still say that it stopped.
func (t *Lives) finish(e Event, how end) {
	if l := t.current[e.Instance]; l != nil {
		l.end = max(l.end, how)
	}
}

func (t *Lives) begin(e Event) {
	if l := t.current[e.Instance]; l != nil && l.end == running {
		l.end = silent
	}
	if t.current == nil {
		t.current = map[string]*life{}
	}
	l := &life{role: e.Role, begun: e.At, reached: map[Step]time.Duration{}}
	t.current[e.Instance] = l
	if n := len(t.waves); n == 0 || e.At-t.waves[n-1].last > waveGap {
		t.waves = append(t.waves, &wave{})
	}
	w := t.waves[len(t.waves)-1]
	w.last = e.At
	w.lives = append(w.lives, l)
}

// silent returns how many processes of a role ended without a word.
func (t *Lives) silent(role string) int {
	n := 0
	for _, wave := range t.waves {
		for _, l := range wave.lives {
			if l.role == role && l.end == silent {
				n++
			}
		}
	}
	return n
}

// Write prints a row for each role in each wave of starts: how long its steps took, and how
// many of its processes ended in each way.
func (t *Lives) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "starts\trole\tfirst at\tlast\tstate p50\tlast\tlist p50\tlast\tready p50\tlast\tstopped\tfailed\tsilent")
	for _, wave := range t.waves {
		byRole := map[string][]*life{}
		var roles []string
		for _, l := range wave.lives {
			if byRole[l.role] == nil {
				roles = append(roles, l.role)
			}
			byRole[l.role] = append(byRole[l.role], l)
		}
		slices.Sort(roles)
		for _, role := range roles {
			lives := byRole[role]
			var ended [ends]int
			for _, l := range lives {
				ended[l.end]++
			}
			fmt.Fprintf(out, "%d\t%s\t%v\t%v\t%s\t%s\t%s\t%d\t%d\t%d\n", len(lives), role, round(lives[0].begun), round(lives[len(lives)-1].begun),
				middleAndLast(lives, StepState), middleAndLast(lives, StepList), middleAndLast(lives, StepReady),
				ended[inOrder], ended[withError], ended[silent])
		}
	}
	return out.Flush()
}

// middleAndLast returns two cells of the table.
func middleAndLast(lives []*life, s Step) string {
	var took []time.Duration
	for _, l := range lives {
		if d, ok := l.reached[s]; ok {
			took = append(took, d)
		}
	}
	if len(took) == 0 {
		return "-\t-"
	}
	slices.SortFunc(took, cmp.Compare[time.Duration])
	return fmt.Sprintf("%v\t%v", round(took[len(took)/2]), round(took[len(took)-1]))
}

func round(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
