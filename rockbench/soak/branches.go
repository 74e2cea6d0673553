// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"rockbarrow.dev/platform/standin"
)

const (
	// retention is how long the route of turns retains them.
	retention = time.Minute
	// beginEvery is how many programs there are for one that begins from another one's turn, in seeds with branches.
	beginEvery = 3
	// mostBegun in bytes bounds the history of such a turn, as chains would grow without end.
	mostBegun = 20 << 10
	// objectiveTries is how many attempts at undisturbed instances a turn has to reach an endpoint in.
	objectiveTries = 5
)

// branch has a program fork and begin from another one's turn, in seeds that do, and watches its attempts.
func (w *worker) branch(p *standin.Program) {
	p.OnTry = (&turnWatch{soak: w.soak}).note
	if !w.soak.final.branches {
		return
	}
	p.Forks = true
	if w.r.IntN(beginEvery) == 0 {
		p.From = w.soak.fleet.turnOf(p.Customer, w.r)
	}
}

// turnOf draws a recent turn of a customer, nil if there is none.
func (f *fleet) turnOf(customer string, r *rand.Rand) *standin.CompletedTurn {
	list := slices.DeleteFunc(f.ledger.TurnsSince(time.Now().Add(-standin.ForkWithin)), func(t *standin.CompletedTurn) bool {
		return t.Customer != customer || len(t.History) > mostBegun
	})
	if len(list) == 0 {
		return nil
	}
	f.ledger.Count("programs that begin from another one's turn")
	return list[r.IntN(len(list))]
}

// turnWatch counts turns that reach no endpoint in objectiveTries attempts while no instance is disturbed. The stand-ins' endpoints are far
// from full. It breaks no promise by itself: whether first turns are served meanwhile is not known here.
type turnWatch struct {
	soak *soak
	// turn is the one whose attempts are counted, seen are their answers, and reached is true once one has reached an endpoint.
	turn    string
	seen    []string
	reached bool
}

func (w *turnWatch) note(t standin.TurnTry) {
	turn := t.ID[:max(0, strings.LastIndexByte(t.ID, '-'))]
	if turn != w.turn {
		w.turn, w.seen, w.reached = turn, nil, false
	}
	w.reached = w.reached || t.Reached
	if w.reached || !w.soak.fleet.calmSince(t.Sent) {
		return
	}
	w.seen = append(w.seen, fmt.Sprintf("%s at %s: %d %s", t.ID, t.Entry, t.Status, t.Reason))
	if len(w.seen) == objectiveTries {
		w.soak.fleet.ledger.Count("turns that reached no endpoint in five attempts while no instance was disturbed")
		fmt.Fprintf(w.soak.cfg.Out, "%6.2f s  turn %s reached no endpoint in %d attempts while no instance was disturbed: %s\n",
			time.Since(w.soak.start).Seconds(), turn, objectiveTries, strings.Join(w.seen, "; "))
	}
}

// calmSince reports whether no instance has been disturbed since contact before a time, nor cut off from others or replaced.
func (f *fleet) calmSince(at time.Time) bool {
	disturbed := func(in *instance) bool { return !in.claimed.freeSince(at) }
	return !f.changing.Load() && !slices.ContainsFunc(f.all(), disturbed) && f.sides.wholeSince(at.Add(-contact)) && f.listed.freeSince(at)
}
