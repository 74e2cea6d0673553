// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// These tests tell an incident: a deployment of four control instances, three of them seeds, did not
// begin. One seed that was away at the first start, or was killed before its identity was on the disk
// and so was no founder any more, kept the other three from ever forming it: founding asked for
// every seed, and only the instance whose name comes first began it. Real processes showed both.

// formWithin bounds the wait for a deployment that should form, which takes half a second.
const formWithin = 20 * time.Second

// cluster makes control instances, of which the first three are the seeds and founders. None is
// started.
func cluster(t testing.TB, n int) ([]*place, []net.Listener) {
	t.Helper()
	const seeds = 3
	var places []*place
	var listeners []net.Listener
	var addresses []string
	list := &fakeList{}
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		listeners = append(listeners, l)
		if i < seeds {
			addresses = append(addresses, l.Addr().String())
		}
		places = append(places, &place{t: t, dir: t.TempDir(), founder: true, list: list, member: &fleetpb.Member{
			Instance: fmt.Sprint("control-", i), Storage: uint64(i + 1), Address: l.Addr().String(),
		}})
	}
	for _, p := range places {
		p.seeds = addresses
	}
	return places, listeners
}

func formed(t *testing.T, places ...*place) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), formWithin)
	defer cancel()
	for _, p := range places {
		for !p.controller.HasState() {
			if ctx.Err() != nil {
				t.Fatalf("%s knows of no deployment", p.member.GetInstance())
			}
			pause := time.NewTimer(time.Millisecond)
			<-pause.C
		}
	}
}

func TestADeploymentBeginsWithALoss(t *testing.T) {
	for away := range 3 {
		for _, founder := range []bool{true, false} {
			t.Run(fmt.Sprintf("seed %d is away, later founder %v", away, founder), func(t *testing.T) {
				t.Parallel()
				places, listeners := cluster(t, 4)
				var up []*place
				for i, p := range places {
					if i != away {
						p.start(listeners[i])
						up = append(up, p)
					}
				}
				formed(t, up...)
				put(t, up[0], 1, "one")
				late := places[away]
				late.founder = founder
				late.start(listeners[away])
				await(t, func() bool { return version(late) == 1 })
			})
		}
	}
	for _, without := range [][]int{{0}, {1}, {0, 1}, {0, 1, 2}, {0, 1, 2, 3}} {
		t.Run(fmt.Sprintf("%v lost their identities", without), func(t *testing.T) {
			t.Parallel()
			places, listeners := cluster(t, 4)
			for _, i := range without {
				places[i].founder = false
			}
			for i, p := range places {
				p.start(listeners[i])
			}
			formed(t, places...)
			put(t, places[3], 1, "one")
			for _, p := range places {
				await(t, func() bool { return version(p) == 1 })
			}
			await(t, func() bool {
				s := places[3].controller.State()
				return register.ContainsStorage(s.GetVoters(), 1) && register.ContainsStorage(s.GetVoters(), 2) && register.ContainsStorage(s.GetVoters(), 3)
			})
		})
	}
}
