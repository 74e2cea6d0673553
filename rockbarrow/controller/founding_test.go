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

// formTimeout bounds the wait for a deployment to form.
const formTimeout = 20 * time.Second

// newCluster prepares control instances without starting them. The first three are the seeds, and
// all are founders.
func newCluster(t testing.TB, n int) ([]*testInstance, []net.Listener) {
	t.Helper()
	const seeds = 3
	var instances []*testInstance
	var listeners []net.Listener
	var addresses []string
	list := &fakeEndpointSource{}
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
		instances = append(instances, &testInstance{t: t, dir: t.TempDir(), founder: true, list: list, member: &fleetpb.Member{
			Instance: fmt.Sprint("control-", i), Storage: uint64(i + 1), Address: l.Addr().String(),
		}})
	}
	for _, p := range instances {
		p.seeds = addresses
	}
	return instances, listeners
}

func waitFormed(t *testing.T, instances ...*testInstance) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), formTimeout)
	defer cancel()
	for _, p := range instances {
		for !p.controller.HasState() {
			if ctx.Err() != nil {
				t.Fatalf("%s does not know a deployment", p.member.GetInstance())
			}
			pause := time.NewTimer(time.Millisecond)
			<-pause.C
		}
	}
}

// A deployment must form even if one seed is missing or is not a founder.
func TestADeploymentBeginsWithALoss(t *testing.T) {
	for away := range 3 {
		for _, founder := range []bool{true, false} {
			t.Run(fmt.Sprintf("seed %d is away, later founder %v", away, founder), func(t *testing.T) {
				t.Parallel()
				instances, listeners := newCluster(t, 4)
				var up []*testInstance
				for i, p := range instances {
					if i != away {
						p.start(listeners[i])
						up = append(up, p)
					}
				}
				waitFormed(t, up...)
				putConfiguration(t, up[0], 1, "one")
				late := instances[away]
				late.founder = founder
				late.start(listeners[away])
				waitFor(t, func() bool { return configVersion(late) == 1 })
			})
		}
	}
	for _, without := range [][]int{{0}, {1}, {0, 1}, {0, 1, 2}, {0, 1, 2, 3}} {
		t.Run(fmt.Sprintf("%v lost their identities", without), func(t *testing.T) {
			t.Parallel()
			instances, listeners := newCluster(t, 4)
			for _, i := range without {
				instances[i].founder = false
			}
			for i, p := range instances {
				p.start(listeners[i])
			}
			waitFormed(t, instances...)
			putConfiguration(t, instances[3], 1, "one")
			for _, p := range instances {
				waitFor(t, func() bool { return configVersion(p) == 1 })
			}
			waitFor(t, func() bool {
				s := instances[3].controller.State()
				return register.ContainsStorage(s.GetVoters(), 1) && register.ContainsStorage(s.GetVoters(), 2) && register.ContainsStorage(s.GetVoters(), 3)
			})
		})
	}
}
