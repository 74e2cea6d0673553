// SPDX-License-Identifier: MIT

package register

import (
	"fmt"
	"testing"

	"rockbarrow.dev/schema/fleetpb"
)

// founding plays the first start of a deployment of four instances, three of them seeds, under lost, late
// and reordered messages, instances that lost their identity before they voted, and lost disks.
type founding struct {
	*model
	// at holds the storage of each instance today, the seeds' first.
	at []uint64
	// lost is true for an instance whose disk was lost and that knows of no deployment since.
	lost   []bool
	losses int
	next   uint64
	// newest is the newest value that was chosen.
	newest *fleetpb.State
	// formed is true once an instance has learned a value.
	formed bool
}

func newFounding(t testing.TB, seed uint64) *founding {
	f := &founding{model: newModel(t, seed, 4), lost: make([]bool, 4), losses: 1 + int(seed%2), next: 100}
	for id := range uint64(4) {
		a := f.acceptors[id+1]
		a.Founder, a.FaultTolerance = f.r.IntN(4) > 0, f.losses
		f.at = append(f.at, id+1)
	}
	return f
}

func (f *founding) member(i int) *fleetpb.Member {
	return &fleetpb.Member{Instance: fmt.Sprint("control-", i), Storage: f.at[i], Address: fmt.Sprint("address-", i+1)}
}

// heard returns the seeds as one instance has heard them.
func (f *founding) heard() (seeds, known []*fleetpb.Member) {
	for i := range 3 {
		m := f.member(i)
		if f.r.IntN(4) == 0 {
			m = &fleetpb.Member{Address: m.GetAddress()}
		} else {
			known = append(known, m)
		}
		seeds = append(seeds, m)
	}
	if f.r.IntN(2) == 0 {
		known = append(known, f.member(3))
	}
	return seeds, known
}

func (f *founding) propose(i int) {
	by := f.at[i]
	state := f.acceptors[by].Record().GetState()
	if k := f.known[by]; k.GetNumber() > state.GetNumber() {
		state = k
	}
	seeds, known := f.heard()
	change := put(f.rounds+1, fmt.Sprint("by ", by))
	if state == nil {
		if len(known) == 0 {
			return
		}
		change = InitialState(known, seeds)
	} else if f.r.IntN(3) == 0 {
		change = func(s *fleetpb.State) *fleetpb.State {
			if s.GetPriorVoters() == nil {
				return nil
			}
			s.PriorVoters = nil
			return s
		}
	}
	f.proposeFrom(by, state, seeds, change)
}

// tell lets one instance learn the newest value that was chosen.
func (f *founding) tell(i int) {
	for _, s := range f.known {
		if s.GetNumber() > f.newest.GetNumber() {
			f.newest = s
		}
	}
	if f.newest == nil {
		return
	}
	f.formed = true
	f.known[f.at[i]] = f.newest
	f.acceptors[f.at[i]].MarkFormed()
	f.lost[i] = false
}

// lose empties an instance's disk, within what may be lost at once. It is no founder then.
func (f *founding) lose(i int) {
	blank := 1
	for other, lost := range f.lost {
		if lost && other != i {
			blank++
		}
	}
	if blank > f.losses || f.lost[i] {
		return
	}
	f.lost[i] = true
	seeds := f.acceptors[f.at[i]].Seeds
	delete(f.acceptors, f.at[i])
	f.next++
	f.at[i] = f.next
	f.acceptors[f.next] = &Acceptor{Storage: f.next, Seeds: seeds, FaultTolerance: f.losses}
}

// TestOneDeploymentIsFounded: whatever is chosen first is the only first value, and what follows forms
// one line with it.
func TestOneDeploymentIsFounded(t *testing.T) {
	formed := 0
	for seed := range uint64(4000) {
		f := newFounding(t, seed)
		for range 250 {
			switch i := f.r.IntN(4); f.r.IntN(40) {
			case 0, 1, 2:
				f.propose(i)
			case 3:
				f.tell(i)
			case 4:
				if f.r.IntN(8) == 0 {
					f.lose(i)
				}
			default:
				f.deliver()
			}
		}
		if f.formed {
			formed++
		}
		if t.Failed() {
			return
		}
	}
	if formed < 1000 {
		t.Errorf("only %d of 4000 plays formed a deployment", formed)
	}
}
