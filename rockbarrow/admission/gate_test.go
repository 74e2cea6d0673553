// SPDX-License-Identifier: MIT

package admission

import (
	"testing"
	"time"
)

// desk answers tries with a number of free seats.
type desk struct {
	g       Queue
	now     time.Time
	seats   int
	taken   []ID
	refused map[ID]uint32
}

func newDesk(seats int) *desk {
	return &desk{now: time.Unix(1000, 0), seats: seats, refused: map[ID]uint32{}}
}

func (d *desk) do(e Event) {
	actions := d.g.Handle(d.now, e)
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case Try:
			if d.seats == 0 {
				actions = append(actions, d.g.Handle(d.now, NoCapacity(a))...)
				continue
			}
			d.seats--
			d.taken = append(d.taken, a.ID)
			actions = append(actions, d.g.Handle(d.now, Placed(a))...)
		case Reject:
			d.refused[a.ID] = a.Problem.GetRetryAfterMs()
		}
	}
}

func (d *desk) finish(id ID) {
	d.seats++
	d.do(Finished{ID: id})
}

func TestGreedyCustomerDoesNotCrowdOut(t *testing.T) {
	d := newDesk(1)
	id := ID(0)
	for range 40 {
		id++
		d.do(Arrived{ID: id, Customer: "greedy", Class: "m", Cost: 100})
	}
	id++
	modest := id
	d.do(Arrived{ID: modest, Customer: "modest", Class: "m", Cost: 100})
	for n := 0; n < 3; n++ {
		d.now = d.now.Add(100 * time.Millisecond)
		d.finish(d.taken[len(d.taken)-1])
	}
	for _, got := range d.taken {
		if got == modest {
			return
		}
	}
	t.Fatalf("taken %v, want %d of the modest customer among the first four", d.taken, modest)
}

func TestRunsUnderWayGoFirst(t *testing.T) {
	d := newDesk(0)
	d.do(Arrived{ID: 1, Customer: "c", Class: "m"})
	d.do(Arrived{ID: 2, Customer: "c", Class: "m", AttainedService: 50, Started: d.now})
	d.do(Arrived{ID: 3, Customer: "c", Class: "m", AttainedService: 50, Started: d.now.Add(-time.Minute)})
	d.seats = 3
	d.do(Ticked{})
	if len(d.taken) != 3 || d.taken[0] != 3 || d.taken[1] != 2 {
		t.Fatalf("order %v, want 3 2 1", d.taken)
	}
}

func TestRefusesEarlyWithATime(t *testing.T) {
	d := newDesk(1)
	d.g.MaxWait = 2 * time.Second
	id := ID(0)
	for n := range 60 {
		d.now = d.now.Add(50 * time.Millisecond)
		d.do(Ticked{})
		for range 4 {
			id++
			d.do(Arrived{ID: id, Customer: "c", Class: "m", Cost: 1})
		}
		if n%2 == 1 {
			d.finish(d.taken[len(d.taken)-1])
		}
	}
	if len(d.refused) < 100 {
		t.Fatalf("%d refused of 240 at eight times the rate of service, want at least 100", len(d.refused))
	}
	for id, after := range d.refused {
		if after < 100 {
			t.Fatalf("call %d told to come back after %d ms, want at least 100", id, after)
		}
	}
	if d.g.Len() > 24 {
		t.Fatalf("%d calls wait at 10 a second with 2 s to wait, want at most 24", d.g.Len())
	}
}

func TestExpiredIsRefused(t *testing.T) {
	d := newDesk(0)
	d.do(Arrived{ID: 1, Customer: "c", Class: "m"})
	d.now = d.now.Add(11 * time.Second)
	d.do(Ticked{})
	if _, ok := d.refused[1]; !ok || d.g.Len() != 0 {
		t.Fatalf("refused %v with %d queued, want call 1 refused", d.refused, d.g.Len())
	}
}

func TestCustomerLimitHolds(t *testing.T) {
	d := newDesk(10)
	for id := ID(1); id <= 5; id++ {
		d.do(Arrived{ID: id, Customer: "c", Class: "m", MaxCalls: 2})
	}
	if len(d.taken) != 2 {
		t.Fatalf("%d under way, want 2", len(d.taken))
	}
	d.finish(1)
	if len(d.taken) != 3 {
		t.Fatalf("%d taken after one finished, want 3", len(d.taken))
	}
}

func TestOneFullClassDoesNotBlockAnother(t *testing.T) {
	g := Queue{}
	now := time.Unix(1000, 0)
	g.Handle(now, Arrived{ID: 1, Customer: "c", Class: "full"})
	g.Handle(now, NoCapacity{ID: 1})
	got := g.Handle(now, Arrived{ID: 2, Customer: "c", Class: "free"})
	if len(got) != 1 || got[0] != (Try{ID: 2}) {
		t.Fatalf("actions %v, want a try of call 2", got)
	}
}

func TestRetriesAreAShareOfFirstTries(t *testing.T) {
	var b RetryBudget
	retries := 0
	for range 1000 {
		b.RecordFirstAttempt()
		if b.TryRetry() {
			retries++
		}
	}
	if retries < 100 || retries > 125 {
		t.Fatalf("%d retries for 1000 first tries, want 100 to 125", retries)
	}
}
