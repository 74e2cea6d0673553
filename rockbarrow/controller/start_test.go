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

// openController returns a controller that is open but not running.
func openController(t *testing.T, p *testInstance) *Controller {
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

// After a full power loss, the chosen state must be learned without waiting for a tick.
func TestWhatWasChosenIsLearnedAtOnce(t *testing.T) {
	cluster := startCluster(t)
	putConfiguration(t, cluster[0], 4, "four")
	cluster[2].stop()
	c := openController(t, cluster[2])
	if c.HasState() {
		t.Fatal("an accepted value counts as chosen without a round")
	}
	c.runLearning(t.Context())
	if got := c.State().GetConfiguration().GetVersion(); got != 4 {
		t.Errorf("version %d was learned, want 4", got)
	}
}

// The first reading must not wait for a tick.
func TestTheListIsReadAtOnce(t *testing.T) {
	list := &fakeEndpointSource{}
	list.set(&fleetpb.Endpoint{Id: "a"})
	c := openController(t, &testInstance{member: &fleetpb.Member{Instance: "control", Storage: 1}, dir: t.TempDir(), list: list})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	(&reader{controller: c}).loop(ctx)
	if n := len(c.Endpoints().List().GetEndpoints()); n != 1 {
		t.Errorf("%d endpoints are known before the first tick", n)
	}
}

// A list that takes many calls must be read less often.
func TestALongListIsReadLessOften(t *testing.T) {
	c := &Controller{MaxListCallsPerSecond: 320, MaxListAge: 5 * time.Second}
	for _, test := range []struct {
		calls uint32
		least float64
	}{{0, 0}, {1, 0}, {25, 0}, {50, 1.5}, {100, 1.5}, {1000, 1.5}} {
		interval := c.readInterval(test.calls)
		if interval < minReadInterval || interval.Seconds() < test.least || interval > c.MaxListAge/3 {
			t.Errorf("%d calls: interval %v", test.calls, interval)
		}
	}
	if got := (&Controller{}).readInterval(50); got != minReadInterval {
		t.Errorf("interval %v without a limit of calls", got)
	}
}
