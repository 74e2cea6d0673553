// SPDX-License-Identifier: MIT

package limiter

import (
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

// ids returns the started requests, and the last rejection if there is one.
func ids(actions []Action) (started []ID, rejected *Reject) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			started = append(started, a.ID)
		case Reject:
			rejected = &a
		}
	}
	return started, rejected
}

func newProgram(id ID, patience time.Duration) Arrived { return Arrived{ID: id, MaxWait: patience} }

func laterTurn(id ID, left time.Duration) Arrived {
	return Arrived{ID: id, InProgress: true, HasDeadline: true, Remaining: left}
}

func TestQueueOrder(t *testing.T) {
	var l Limiter
	l.Handle(start, Resized{Slots: 1})
	l.Handle(start, newProgram(1, time.Second))
	for _, a := range []Arrived{
		{ID: 2, HasDeadline: true, Remaining: time.Minute, MaxWait: time.Hour, Priority: 1},
		{ID: 3, HasDeadline: true, Remaining: time.Minute, MaxWait: time.Hour},
		{ID: 4, HasDeadline: true, InProgress: true, MaxWait: time.Hour},
		laterTurn(5, 2*time.Second), laterTurn(6, time.Second),
	} {
		if started, rejected := ids(l.Handle(start, a)); started != nil || rejected != nil {
			t.Fatalf("%d: started %v, rejected %v", a.ID, started, rejected)
		}
	}
	// Programs in progress by deadline, then new programs by priority, then overdue ones.
	running := ID(1)
	for _, want := range []ID{6, 5, 3, 2, 4} {
		started, _ := ids(l.Handle(start, Finished{ID: running}))
		if len(started) != 1 || started[0] != want {
			t.Fatalf("started %v, want %d", started, want)
		}
		running = want
	}
}

// A customer that sends many new programs gets no more than its share of slots, even if it was first, and an idle
// customer accumulates no credit.
func TestCustomersShareByWeight(t *testing.T) {
	var l Limiter
	l.Handle(start, Resized{Slots: 1})
	l.Handle(start, newProgram(1, time.Hour))
	owner := map[ID]string{}
	arrive := func(id ID, customer string, weight float64) {
		owner[id] = customer
		l.Handle(start, Arrived{ID: id, MaxWait: time.Hour, Customer: customer, Weight: weight})
	}
	for i := range ID(30) {
		arrive(100+i, "loud", 1)
	}
	for i := range ID(8) {
		arrive(200+i, "quiet", 1)
		arrive(300+i, "large", 2)
	}
	counts := map[string]int{}
	running := ID(1)
	for range 16 {
		started, _ := ids(l.Handle(start, Finished{ID: running}))
		if len(started) != 1 {
			t.Fatalf("started %v", started)
		}
		running = started[0]
		counts[owner[running]]++
	}
	if counts["loud"] > 5 || counts["quiet"] < 3 || counts["large"] < 7 {
		t.Errorf("sixteen slots were shared as %v", counts)
	}
	arrive(400, "away", 1)
	arrive(401, "away", 1)
	first, _ := ids(l.Handle(start, Finished{ID: running}))
	second, _ := ids(l.Handle(start, Finished{ID: first[0]}))
	if owner[first[0]] == "away" && owner[second[0]] == "away" {
		t.Error("a customer that was idle is served twice in a row")
	}
}

func TestNewProgramIsRejectedIfTheWaitIsTooLong(t *testing.T) {
	var l Limiter
	l.Handle(start, Resized{Slots: 9})
	// Six new programs start per second: three of the nine slots are reserved.
	for id := range ID(6) {
		if started, _ := ids(l.Handle(start, newProgram(id, 400*time.Millisecond))); len(started) != 1 {
			t.Fatalf("%d did not start", id)
		}
	}
	var retries []time.Duration
	for id := ID(6); id < 12; id++ {
		started, rejected := ids(l.Handle(start, newProgram(id, 400*time.Millisecond)))
		if started != nil {
			t.Fatalf("%d started", id)
		}
		if rejected != nil {
			retries = append(retries, rejected.RetryAfter.Round(time.Millisecond))
		}
	}
	if l.Waiting() != 2 || len(retries) != 4 {
		t.Fatalf("%d requests wait and the retry times are %v, want 2 and 4 times", l.Waiting(), retries)
	}
	for i := 1; i < len(retries); i++ {
		if retries[i] < retries[i-1] || retries[i] > maxRetryAfter {
			t.Errorf("retry times %v, want increasing ones of at most %v", retries, maxRetryAfter)
		}
	}
	if started, _ := ids(l.Handle(start, laterTurn(12, time.Second))); len(started) != 1 {
		t.Error("a turn of a program in progress did not get a reserved slot")
	}
}

// A turn is rejected as soon as it is known that it cannot be answered within the
// client's timeout.
func TestTurnThatCannotBeServedIsRejected(t *testing.T) {
	var l Limiter
	l.Handle(start, Resized{Slots: 2})
	turn := func(id ID, wait time.Duration) Arrived {
		return Arrived{ID: id, InProgress: true, HasDeadline: true, Remaining: time.Minute, ClientTimeout: wait}
	}
	l.Handle(start, turn(1, time.Second))
	l.Handle(start, turn(2, time.Second))
	now := start.Add(400 * time.Millisecond)
	l.Handle(now, Finished{ID: 1})
	l.Handle(now, turn(3, time.Second))
	// The service time is 400 ms, and two turns have started in the last second.
	if _, rejected := ids(l.Handle(now, turn(4, 300*time.Millisecond))); rejected == nil {
		t.Error("a turn that would miss its client's timeout was queued")
	}
	if _, rejected := ids(l.Handle(now, turn(5, time.Second))); rejected != nil {
		t.Error("a turn that can be answered in time was rejected")
	}
	now = now.Add(601 * time.Millisecond)
	if _, rejected := ids(l.Handle(now, Resized{Slots: 2})); rejected == nil || rejected.ID != 5 {
		t.Errorf("rejected %+v, want request 5", rejected)
	}
}

func TestMoreSlotsStartWaitingRequests(t *testing.T) {
	var l Limiter
	l.Handle(start, laterTurn(1, time.Second))
	l.Handle(start, laterTurn(2, time.Second))
	l.Handle(start, Cancelled{ID: 1})
	started, _ := ids(l.Handle(start, Resized{Slots: 4}))
	if len(started) != 1 || started[0] != 2 {
		t.Errorf("started %v, want request 2", started)
	}
}

// TestRandomRequests checks over random schedules that slots are not exceeded, that no
// request waits or is rejected while there is a free slot, that turns of programs in
// progress without a client timeout are never rejected, and that all requests end.
func TestRandomRequests(t *testing.T) {
	for seed := range uint64(200) {
		runSchedule(t, rand.New(rand.NewPCG(seed, 7)))
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// FuzzSchedules makes the same checks for schedules generated by the fuzzer.
func FuzzSchedules(f *testing.F) {
	f.Add(uint64(1), uint64(2))
	f.Fuzz(func(t *testing.T, a, b uint64) { runSchedule(t, rand.New(rand.NewPCG(a, b))) })
}

// schedule runs a limiter under random events and checks its invariants.
type schedule struct {
	t       *testing.T
	l       Limiter
	now     time.Time
	slots   int
	running map[ID]bool
	waiting map[ID]Arrived
}

func runSchedule(t *testing.T, r *rand.Rand) {
	s := &schedule{t: t, now: start, running: map[ID]bool{}, waiting: map[ID]Arrived{}}
	for id := ID(1); id < 120; id++ {
		s.now = s.now.Add(time.Duration(r.IntN(20)) * time.Millisecond)
		switch r.IntN(8) {
		case 0:
			s.slots = r.IntN(12)
			s.step(Resized{Slots: s.slots})
		case 1, 2, 3:
			s.finish(r)
		case 4:
			for id := range s.waiting {
				delete(s.waiting, id)
				s.step(Cancelled{ID: id})
				break
			}
		default:
			a := Arrived{
				ID: id, InProgress: r.IntN(2) == 0, HasDeadline: r.IntN(4) > 0, Remaining: time.Duration(r.IntN(2000)-200) * time.Millisecond,
				MaxWait: time.Duration(r.IntN(500)) * time.Millisecond, Priority: uint32(r.IntN(3)),
				ClientTimeout: time.Duration(r.IntN(2)*r.IntN(900)) * time.Millisecond,
			}
			s.waiting[id] = a
			s.step(a)
		}
	}
	s.slots = 4
	s.step(Resized{Slots: 4})
	for range 400 {
		s.finish(r)
	}
	if len(s.waiting) > 0 || s.l.Waiting() > 0 {
		t.Errorf("%d requests were never started", len(s.waiting))
	}
}

func (s *schedule) finish(r *rand.Rand) {
	n := r.IntN(len(s.running) + 1)
	for id := range s.running {
		if n--; n < 0 {
			delete(s.running, id)
			s.step(Finished{ID: id})
			return
		}
	}
}

func (s *schedule) step(e Event) {
	free := len(s.running) < s.slots
	for _, a := range s.l.Handle(s.now, e) {
		switch a := a.(type) {
		case Start:
			if _, ok := s.waiting[a.ID]; !ok {
				s.t.Errorf("request %d was started without waiting", a.ID)
			}
			delete(s.waiting, a.ID)
			s.running[a.ID] = true
			if len(s.running) > s.slots {
				s.t.Errorf("%d requests run in %d slots", len(s.running), s.slots)
			}
		case Reject:
			w := s.waiting[a.ID]
			if groupOf(w) == groupInProgress && w.ClientTimeout == 0 {
				s.t.Error("a turn without a client timeout was rejected")
			}
			if free && s.l.hasSlot(groupOf(w)) && len(s.waiting) == 1 && w.ClientTimeout == 0 {
				s.t.Error("a request was rejected although a slot was free and the queue was empty")
			}
			delete(s.waiting, a.ID)
		}
	}
	if s.l.Running() != len(s.running) || s.l.Waiting() != len(s.waiting) {
		s.t.Errorf("%d run and %d wait, want %d and %d", s.l.Running(), s.l.Waiting(), len(s.running), len(s.waiting))
	}
	for id, w := range s.waiting {
		if s.l.hasSlot(groupOf(w)) {
			s.t.Errorf("request %d waits although a slot is free", id)
		}
	}
}
