// SPDX-License-Identifier: MIT

package admission

import (
	"testing"
	"time"
)

// dispatcher responds to tries as long as slots are free.
type dispatcher struct {
	queue    Queue
	now      time.Time
	slots    int
	placed   []ID
	rejected map[ID]uint32
}

func newDispatcher(slots int) *dispatcher {
	return &dispatcher{now: time.Unix(1000, 0), slots: slots, rejected: map[ID]uint32{}}
}

func (d *dispatcher) handle(e Event) {
	actions := d.queue.Handle(d.now, e)
	for len(actions) > 0 {
		a := actions[0]
		actions = actions[1:]
		switch a := a.(type) {
		case Try:
			if d.slots == 0 {
				actions = append(actions, d.queue.Handle(d.now, NoCapacity(a))...)
				continue
			}
			d.slots--
			d.placed = append(d.placed, a.ID)
			actions = append(actions, d.queue.Handle(d.now, Placed(a))...)
		case Reject:
			d.rejected[a.ID] = a.Problem.GetRetryAfterMs()
		}
	}
}

func (d *dispatcher) finish(id ID) {
	d.slots++
	d.handle(Finished{ID: id})
}

func TestGreedyCustomerDoesNotStarveOthers(t *testing.T) {
	d := newDispatcher(1)
	id := ID(0)
	for range 40 {
		id++
		d.handle(Arrived{ID: id, Customer: "greedy", Class: "m", Cost: 100})
	}
	id++
	modest := id
	d.handle(Arrived{ID: modest, Customer: "modest", Class: "m", Cost: 100})
	for n := 0; n < 3; n++ {
		d.now = d.now.Add(100 * time.Millisecond)
		d.finish(d.placed[len(d.placed)-1])
	}
	for _, got := range d.placed {
		if got == modest {
			return
		}
	}
	t.Fatalf("placed %v, want %d of the modest customer among the first four", d.placed, modest)
}

func TestRunsInProgressHavePriority(t *testing.T) {
	d := newDispatcher(0)
	d.handle(Arrived{ID: 1, Customer: "c", Class: "m"})
	d.handle(Arrived{ID: 2, Customer: "c", Class: "m", AttainedService: 50, Started: d.now})
	d.handle(Arrived{ID: 3, Customer: "c", Class: "m", AttainedService: 50, Started: d.now.Add(-time.Minute)})
	d.slots = 3
	d.handle(Ticked{})
	if len(d.placed) != 3 || d.placed[0] != 3 || d.placed[1] != 2 {
		t.Fatalf("order %v, want 3 2 1", d.placed)
	}
}

func TestOverloadIsRejectedWithARetryTime(t *testing.T) {
	d := newDispatcher(1)
	d.queue.MaxWait = 2 * time.Second
	id := ID(0)
	for n := range 60 {
		d.now = d.now.Add(50 * time.Millisecond)
		d.handle(Ticked{})
		for range 4 {
			id++
			d.handle(Arrived{ID: id, Customer: "c", Class: "m", Cost: 1})
		}
		if n%2 == 1 {
			d.finish(d.placed[len(d.placed)-1])
		}
	}
	if len(d.rejected) < 100 {
		t.Fatalf("%d rejected of 240 at eight times the service rate, want at least 100", len(d.rejected))
	}
	for id, after := range d.rejected {
		if after < 100 {
			t.Fatalf("call %d has a retry time of %d ms, want at least 100", id, after)
		}
	}
	if d.queue.Len() > 24 {
		t.Fatalf("%d calls wait with 10 served per second and 2 s to wait, want at most 24", d.queue.Len())
	}
}

func TestExpiredCallIsRejected(t *testing.T) {
	d := newDispatcher(0)
	d.handle(Arrived{ID: 1, Customer: "c", Class: "m"})
	d.now = d.now.Add(11 * time.Second)
	d.handle(Ticked{})
	if _, ok := d.rejected[1]; !ok || d.queue.Len() != 0 {
		t.Fatalf("rejected %v with %d queued, want call 1 rejected", d.rejected, d.queue.Len())
	}
}

func TestCustomerCallLimit(t *testing.T) {
	d := newDispatcher(10)
	for id := ID(1); id <= 5; id++ {
		d.handle(Arrived{ID: id, Customer: "c", Class: "m", MaxCalls: 2})
	}
	if len(d.placed) != 2 {
		t.Fatalf("%d calls in flight, want 2", len(d.placed))
	}
	d.finish(1)
	if len(d.placed) != 3 {
		t.Fatalf("%d calls placed after one finished, want 3", len(d.placed))
	}
}

func TestOneFullClassDoesNotBlockAnother(t *testing.T) {
	q := Queue{}
	now := time.Unix(1000, 0)
	q.Handle(now, Arrived{ID: 1, Customer: "c", Class: "full"})
	q.Handle(now, NoCapacity{ID: 1})
	got := q.Handle(now, Arrived{ID: 2, Customer: "c", Class: "free"})
	if len(got) != 1 || got[0] != (Try{ID: 2}) {
		t.Fatalf("actions %v, want a try of call 2", got)
	}
}

func TestRetryBudgetLimitsRetries(t *testing.T) {
	var b RetryBudget
	retries := 0
	for range 1000 {
		b.RecordFirstAttempt()
		if b.TryRetry() {
			retries++
		}
	}
	if retries < 100 || retries > 125 {
		t.Fatalf("%d retries for 1000 first attempts, want 100 to 125", retries)
	}
}
