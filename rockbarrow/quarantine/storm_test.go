// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
)

// storm plays requests that are sent again when their endpoints end, which they do by chance.
type storm struct {
	*world
	r *rand.Rand
	// life is the mean time until an endpoint ends alone, zero for never; groupEvery and groupShare are for those that end together.
	life, groupEvery time.Duration
	groupShare       int
	// longest is the longest execution.
	longest time.Duration
	places  []incarnation.ID
	// beyond is true for a storm in which requests meet three ends by chance: at most one in mostRefused may be refused.
	beyond bool
	// deadlyEvery is how often deadlyAtOnce deadly requests (1 if zero) are sent beside the others, zero for never.
	deadlyEvery  time.Duration
	deadlyAtOnce int

	flying                        []*attempt
	ended, sent, worst            int
	refused, held                 int
	deadlyRequests, deadlyOverrun int
}

// attempt is one execution, or the pause before it.
type attempt struct {
	keys         Keys
	number, ends int
	begin, until time.Time
	place        int
	deadly, runs bool
}

const (
	stormTick     = 10 * time.Millisecond
	stormLength   = time.Minute
	stormAttempts = 6
	stormLoad     = 40
	deadlyTime    = 50 * time.Millisecond
	mostRefused   = 500
)

func (s *storm) run() {
	s.places = make([]incarnation.ID, s.endpoints)
	for i := range s.places {
		s.places[i] = s.freshEndpoint()
	}
	start := s.now
	for n := 0; s.now.Sub(start) < stormLength; n++ {
		s.now = s.now.Add(stormTick)
		for len(s.flying) < stormLoad {
			s.add(keysOf(fmt.Sprint("p", n, "-", len(s.flying)), fmt.Sprint(n, len(s.flying))), false)
		}
		if s.deadlyEvery > 0 && n%int(s.deadlyEvery/stormTick) == 0 {
			for i := range max(1, s.deadlyAtOnce) {
				s.deadlyRequests++
				s.add(keysOf(fmt.Sprint("deadly", n, "-", i), fmt.Sprint("deadly", n, "-", i)), true)
			}
		}
		s.step()
		if s.groupEvery > 0 && n%int(s.groupEvery/stormTick) == 0 {
			for _, i := range s.r.Perm(s.endpoints)[:s.endpoints/s.groupShare] {
				s.endPlace(i)
			}
		}
		for i := range s.places {
			if s.life > 0 && s.r.Int64N(int64(s.life/stormTick)) == 0 {
				s.endPlace(i)
			}
		}
	}
}

func (s *storm) add(k Keys, deadly bool) {
	s.flying = append(s.flying, &attempt{keys: k, begin: s.now, deadly: deadly})
}

// step begins what is due and ends what is over.
func (s *storm) step() {
	kept := s.flying[:0]
	var deadly []int
	for _, a := range s.flying {
		switch {
		case !a.runs && !s.now.Before(a.begin):
			if !s.begin(a) {
				continue
			}
		case a.runs && a.deadly && !s.now.Before(a.until):
			deadly = append(deadly, a.place)
		case a.runs && !s.now.Before(a.until):
			s.registry.Completed(s.now, a.keys)
			continue
		}
		kept = append(kept, a)
	}
	s.flying = kept
	for _, i := range deadly {
		s.endPlace(i)
	}
}

// begin sends an attempt, or reports false if it is refused or given up.
func (s *storm) begin(a *attempt) bool {
	if a.number >= stormAttempts && !a.deadly {
		return false
	}
	a.place = s.r.IntN(s.endpoints)
	d := s.registry.Ask(s.now, Question{Keys: a.keys, Endpoint: s.places[a.place], Asker: fmt.Sprint(a.number), Insist: s.r.IntN(3) == 0, Until: s.now.Add(5 * time.Second)})
	switch d.(type) {
	case Refused, Held:
		if a.deadly {
			// Its client stays, whatever it is told.
			a.begin = s.now.Add(time.Second)
			return true
		}
		if _, refused := d.(Refused); refused {
			s.refused++
		} else {
			s.held++
		}
		return false
	case Busy, Occupied:
		a.begin = s.now.Add(stormTick)
		return true
	}
	s.sent++
	a.number++
	a.runs, a.until = true, s.now.Add(stormTick+time.Duration(s.r.Int64N(int64(s.longest))))
	if a.deadly {
		a.until = s.now.Add(deadlyTime)
	}
	return true
}

// endPlace ends an endpoint and sends its requests again after a pause.
func (s *storm) endPlace(i int) {
	s.ended++
	id := s.places[i]
	s.places[i] = s.freshEndpoint()
	e := End{Endpoint: id, Service: "s", ServiceEndpoints: s.endpoints, At: s.now}
	for _, a := range s.flying {
		if !a.runs || a.place != i {
			continue
		}
		e.Participants = append(e.Participants, Participant{Keys: a.keys, Exposure: min(s.longest, 100*time.Millisecond+s.now.Sub(a.begin))})
		a.runs, a.begin = false, s.now.Add(100*time.Millisecond+time.Duration(s.r.Int64N(int64(300*time.Millisecond))))
		a.ends++
		if !a.deadly {
			s.worst = max(s.worst, a.ends)
		} else if a.ends == MaxEnds+1 {
			s.deadlyOverrun++
		}
	}
	if len(e.Participants) > 0 {
		s.registry.RecordEnd(s.now, e)
	}
}

// TestAStormRefusesNobody guards against refusing requests for endpoints that end by chance, alone and together, beside deadly
// requests and without them.
func TestAStormRefusesNobody(t *testing.T) {
	for _, test := range []storm{
		{life: time.Minute, longest: time.Second},
		{life: time.Minute, longest: 3 * time.Second},
		{life: 20 * time.Second, longest: 300 * time.Millisecond},
		{life: 20 * time.Second, longest: time.Second},
		{groupEvery: 1700 * time.Millisecond, groupShare: 2, longest: 500 * time.Millisecond},
		{groupEvery: 1700 * time.Millisecond, groupShare: 4, longest: time.Second},
		{deadlyEvery: 2 * time.Second, longest: 300 * time.Millisecond},
		{deadlyEvery: 2 * time.Second, longest: 2 * time.Second},
		{deadlyEvery: 10 * time.Second, deadlyAtOnce: 12, longest: 300 * time.Millisecond},
		// Beyond this, requests meet three ends by chance so often that the two bounds exclude each other.
		{life: 4 * time.Second, longest: 300 * time.Millisecond, beyond: true},
		{life: 4 * time.Second, longest: 2 * time.Second, beyond: true},
		{groupEvery: 500 * time.Millisecond, groupShare: 4, longest: time.Second, beyond: true},
		{life: 20 * time.Second, groupEvery: 1700 * time.Millisecond, groupShare: 4, longest: time.Second, beyond: true},
		{deadlyEvery: 2 * time.Second, life: 20 * time.Second, longest: 300 * time.Millisecond, beyond: true},
		{deadlyEvery: time.Second, life: 4 * time.Second, longest: 300 * time.Millisecond, beyond: true},
	} {
		for seed := range uint64(2) {
			s := test
			s.world, s.r = newWorld(t), rand.New(rand.NewPCG(seed, 1))
			s.endpoints = 16
			s.run()
			t.Logf("alone each %v, 1 of %d each %v, executions up to %v: %d sent, %d ends, worst %d; %d deadly, %d of them to a fourth endpoint; %d innocent refused, %d held",
				s.life, s.groupShare, s.groupEvery, s.longest, s.sent, s.ended, s.worst, s.deadlyRequests, s.deadlyOverrun, s.refused, s.held)
			if s.refused > 0 && !s.beyond || s.refused > s.sent/mostRefused {
				t.Errorf("%d innocent requests were refused", s.refused)
			}
			if s.deadlyOverrun > 0 {
				t.Errorf("%d deadly requests met more than %d ends", s.deadlyOverrun, MaxEnds)
			}
		}
	}
}
