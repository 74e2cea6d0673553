// SPDX-License-Identifier: MIT

package register

import (
	"fmt"
	"testing"

	"rockbarrow.dev/schema/fleetpb"
)

// bootstrapModel simulates the first start of a deployment of four instances, three of them seeds,
// with lost, delayed and reordered messages, instances that are no founders, and lost disks.
type bootstrapModel struct {
	*model
	// storages holds the current storage of each instance, seeds first.
	storages []uint64
	// wiped is true for an instance that lost its disk and has not learned of a deployment since.
	wiped           []bool
	toleratedFaults int
	nextStorage     uint64
	// newestChosen is the newest chosen value.
	newestChosen *fleetpb.State
	// formed is set once an instance has learned a value.
	formed bool
}

func newBootstrapModel(t testing.TB, seed uint64) *bootstrapModel {
	f := &bootstrapModel{model: newModel(t, seed, 4), wiped: make([]bool, 4), toleratedFaults: 1 + int(seed%2), nextStorage: 100}
	for id := range uint64(4) {
		a := f.acceptors[id+1]
		a.Founder, a.FaultTolerance = f.rng.IntN(4) > 0, f.toleratedFaults
		f.storages = append(f.storages, id+1)
	}
	return f
}

func (f *bootstrapModel) member(i int) *fleetpb.Member {
	return &fleetpb.Member{Instance: fmt.Sprint("control-", i), Storage: f.storages[i], Address: fmt.Sprint("address-", i+1)}
}

// randomSeeds returns the seeds as one instance may know them, and the members it has heard.
func (f *bootstrapModel) randomSeeds() (seeds, known []*fleetpb.Member) {
	for i := range 3 {
		m := f.member(i)
		if f.rng.IntN(4) == 0 {
			m = &fleetpb.Member{Address: m.GetAddress()}
		} else {
			known = append(known, m)
		}
		seeds = append(seeds, m)
	}
	if f.rng.IntN(2) == 0 {
		known = append(known, f.member(3))
	}
	return seeds, known
}

func (f *bootstrapModel) propose(i int) {
	by := f.storages[i]
	state := f.acceptors[by].Record().GetState()
	if k := f.known[by]; k.GetNumber() > state.GetNumber() {
		state = k
	}
	seeds, known := f.randomSeeds()
	change := putConfiguration(f.rounds+1, fmt.Sprint("by ", by))
	if state == nil {
		if len(known) == 0 {
			return
		}
		change = InitialState(known, seeds)
	} else if f.rng.IntN(3) == 0 {
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

// learn tells one instance the newest chosen value.
func (f *bootstrapModel) learn(i int) {
	for _, s := range f.known {
		if s.GetNumber() > f.newestChosen.GetNumber() {
			f.newestChosen = s
		}
	}
	if f.newestChosen == nil {
		return
	}
	f.formed = true
	f.known[f.storages[i]] = f.newestChosen
	f.acceptors[f.storages[i]].MarkFormed()
	f.wiped[i] = false
}

// wipe replaces an instance's disk by an empty one, within the tolerated losses.
func (f *bootstrapModel) wipe(i int) {
	wipedCount := 1
	for other, lost := range f.wiped {
		if lost && other != i {
			wipedCount++
		}
	}
	if wipedCount > f.toleratedFaults || f.wiped[i] {
		return
	}
	f.wiped[i] = true
	seeds := f.acceptors[f.storages[i]].Seeds
	delete(f.acceptors, f.storages[i])
	f.nextStorage++
	f.storages[i] = f.nextStorage
	f.acceptors[f.nextStorage] = &Acceptor{Storage: f.nextStorage, Seeds: seeds, FaultTolerance: f.toleratedFaults}
}

// Only one initial value may be chosen, and all later values must follow from it.
func TestOneDeploymentIsFounded(t *testing.T) {
	formed := 0
	for seed := range uint64(4000) {
		f := newBootstrapModel(t, seed)
		for range 250 {
			switch i := f.rng.IntN(4); f.rng.IntN(40) {
			case 0, 1, 2:
				f.propose(i)
			case 3:
				f.learn(i)
			case 4:
				if f.rng.IntN(8) == 0 {
					f.wipe(i)
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
		t.Errorf("only %d of 4000 runs formed a deployment", formed)
	}
}
