// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand/v2"
)

// finalKind is what a final loss takes.
type finalKind int

const (
	// disksAndPower takes as many disks as may be lost, and the power of all others, disksAlone only the disks.
	disksAndPower finalKind = iota
	disksAlone
	// powerAlone takes the power of all, and processesAlone kills all.
	powerAlone
	processesAlone
)

// earlyLoss is a disk that is lost some time before the others.
type earlyLoss int

const (
	noEarlyLoss earlyLoss = iota
	// countedLoss comes so late that the disk still counts, copiedLoss so early that it does not.
	countedLoss
	copiedLoss
)

// storeChange is what becomes of stores before the final loss, early enough that no disk counts as lost by it.
type storeChange int

const (
	noStoreChange storeChange = iota
	storeRetired
	storeReplaced
	// storeRetiredAndReplaced retires one and replaces another one then.
	storeRetiredAndReplaced
)

// finalRoles are the roles of instances whose disks the final loss takes.
type finalRoles int

const (
	storesOnly finalRoles = iota
	controlOnly
	bothRoles
)

// finalShape is how a run with programs ends.
type finalShape struct {
	kind  finalKind
	roles finalRoles
	early earlyLoss
	// absent has a store down from the time at which a disk that was lost early is copied until the loss.
	absent bool
	change storeChange
	// rounds is how many rounds of stores that are replaced come before.
	rounds int
	// uncounted has instances stopped, replaced, paused, down or added as the loss comes.
	uncounted bool
	// endpointsEnd has endpoints end by chance around the loss.
	endpointsEnd bool
	// largeTurns makes the records of turns large, and slowLinks lets a copy of all of them take seconds.
	largeTurns, slowLinks bool
	// branches has programs fork and begin from turns of others, all the time.
	branches bool
}

// drawFinal draws the end of a run.
func drawFinal(cfg Config) finalShape {
	if cfg.Rounds > 0 {
		return finalShape{kind: disksAndPower, roles: storesOnly, rounds: cfg.Rounds, largeTurns: true, slowLinks: cfg.CopySeconds > 0}
	}
	r := rand.New(rand.NewPCG(cfg.Seed, seedOfFinal))
	var s finalShape
	// Half of the losses take all that may be lost.
	s.kind = []finalKind{disksAndPower, disksAndPower, disksAndPower, disksAndPower, disksAndPower, disksAlone, powerAlone, processesAlone}[r.IntN(8)]
	s.roles = []finalRoles{storesOnly, storesOnly, controlOnly, bothRoles}[r.IntN(4)]
	early, change := earlyLoss(r.IntN(int(copiedLoss)+1)), 1+storeChange(r.IntN(int(storeRetiredAndReplaced)))
	switch r.IntN(3) {
	case 0:
		s.early = early
	case 1:
		s.change = change
	}
	s.uncounted, s.endpointsEnd, s.branches = r.IntN(2) == 0, r.IntN(2) == 0, r.IntN(2) == 0
	if s.kind == disksAlone {
		// The others go on undisturbed.
		s.uncounted = false
	}
	s.largeTurns = r.IntN(3) == 0
	s.slowLinks = s.largeTurns && r.IntN(2) == 0
	s.absent = s.early == copiedLoss && r.IntN(2) == 0
	return s
}

// String describes the end in reports.
func (s finalShape) String() string {
	text := []string{"tolerated disks and all power", "tolerated disks", "all power", "all processes"}[s.kind]
	if s.kind <= disksAlone {
		text += []string{" (stores)", " (control)", " (stores and control)"}[s.roles]
	}
	text += []string{"", ", one disk before that counts", ", one disk before that was copied"}[s.early]
	if s.absent {
		text += " while a store goes down"
	}
	text += []string{"", ", a store is retired before", ", a store is replaced before", ", one store is retired and one replaced before"}[s.change]
	if s.rounds > 0 {
		text += fmt.Sprintf(", %d rounds of stores that are replaced before", s.rounds)
	}
	for _, part := range []struct {
		is   bool
		text string
	}{{s.uncounted, "others are disturbed"}, {s.endpointsEnd, "endpoints end"}, {s.largeTurns, "large turns"}, {s.slowLinks, "slow links"}, {s.branches, "branches"}} {
		if part.is {
			text += fmt.Sprint(", ", part.text)
		}
	}
	return text
}
