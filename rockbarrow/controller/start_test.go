// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/schema/fleetpb"
)

// opened returns an instance that has read its disk and does no duty.
func opened(t *testing.T, p *place) *Controller {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	c := &Controller{
		Self: p.member, Seeds: p.seeds, FaultTolerance: 1, DataDir: p.dir, Pool: pool, EndpointSource: p.list, Log: logrus.NewEntry(log),
	}
	if err := c.Open(); err != nil {
		t.Fatal(err)
	}
	return c
}

// TestWhatWasChosenIsLearnedAtOnce: after a loss of all power everyone waits for the
// first control instance that knows the state. It asks for it without any tick.
func TestWhatWasChosenIsLearnedAtOnce(t *testing.T) {
	core := newCore(t)
	put(t, core[0], 4, "four")
	core[2].stop()
	c := opened(t, core[2])
	if c.HasState() {
		t.Fatal("a value that was accepted counts as chosen before anyone was asked")
	}
	c.runLearning(t.Context())
	if got := c.State().GetConfiguration().GetVersion(); got != 4 {
		t.Errorf("version %d was learned, want 4", got)
	}
}

// TestTheListIsReadAtOnce: the first reading waits for no tick either.
func TestTheListIsReadAtOnce(t *testing.T) {
	list := &fakeList{}
	list.set(&fleetpb.Endpoint{Id: "a"})
	c := opened(t, &place{member: &fleetpb.Member{Instance: "control", Storage: 1}, dir: t.TempDir(), list: list})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	(&reader{controller: c}).loop(ctx)
	if n := len(c.Endpoints().List().GetEndpoints()); n != 1 {
		t.Errorf("%d endpoints are known before the first tick", n)
	}
}

// TestALongListIsReadLessOften: fifty calls for each reading used a fifth of all that the list takes.
func TestALongListIsReadLessOften(t *testing.T) {
	c := &Controller{MaxListCallsPerSecond: 320, MaxListAge: 5 * time.Second}
	for _, test := range []struct {
		calls uint32
		least float64
	}{{0, 0}, {1, 0}, {25, 0}, {50, 1.5}, {100, 1.5}, {1000, 1.5}} {
		interval := c.readInterval(test.calls)
		if interval < readEvery || interval.Seconds() < test.least || interval > c.MaxListAge/3 {
			t.Errorf("%d calls each %v", test.calls, interval)
		}
	}
	if got := (&Controller{}).readInterval(50); got != readEvery {
		t.Errorf("%v where the calls are not bounded", got)
	}
}
