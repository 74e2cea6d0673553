// SPDX-License-Identifier: MIT

package pause

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// TestOnlyPausesAreLogged guards against a late answer that nothing in the logs tells from one whose process did not run.
func TestOnlyPausesAreLogged(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	scope := tally.NewTestScope("", nil)
	m := &Monitor{OnPause: (&Report{Log: logrus.NewEntry(log), Metrics: scope}).OnPause}
	at := time.Unix(1, 0)
	for _, gap := range []time.Duration{DefaultInterval, DefaultInterval + threshold - time.Millisecond, time.Millisecond} {
		m.check(at, at.Add(gap))
	}
	if out.Len() > 0 {
		t.Errorf("logged %q", out.String())
	}
	m.check(at, at.Add(DefaultInterval+time.Second))
	if !strings.Contains(out.String(), "paused_ms=1000") {
		t.Errorf("logged %q", out.String())
	}
	if n := scope.Snapshot().Counters()["process_pauses+"].Value(); n != 1 {
		t.Errorf("%d pauses are counted", n)
	}
}
