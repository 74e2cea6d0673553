// SPDX-License-Identifier: MIT

package daemon

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/schema/configpb"
)

// Guards against calls that are taken late in a stop, when nobody can complete them, and are cut or refused with a false reason.
func TestLateCallsAreRefusedInAPlannedStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	in := d.instances[0]
	run := in.newRun(t)
	busy := in.connect(t)
	busy.send(t, turn(run, 1, false, true))
	d.endpoint.waitBegun(t)
	service, create, call, read := in.connect(t), in.connect(t), in.connect(t), in.connect(t)
	in.stop()
	in.at(propagationDelay + 500*time.Millisecond)
	service.send(t, request("POST", "/v1/services/tools", "{}"))
	create.send(t, request("POST", "/v1/programs/coach/runs", "{}"))
	call.send(t, turn(run, 2, false, true))
	read.send(t, request("GET", "/v1/runs/"+run, ""))
	service.mustRead(t, "a service's call").wantRefusal(t, "a service's call", true)
	create.mustRead(t, "a creation").wantRefusal(t, "a creation", true)
	// The run's owner knows that no earlier sending of the call ran.
	call.mustRead(t, "a call of a busy run").wantRefusal(t, "a call of a busy run", true)
	if a := read.mustRead(t, "a read"); a.status != http.StatusOK {
		t.Errorf("a read: %d %s", a.status, a.body)
	}
	if n := d.endpoint.executions(); n != 1 {
		t.Errorf("%d executions, want only that of the first call", n)
	}
	// The refusals came at once, and not with the end of the calls in progress.
	d.endpoint.releaseAll()
	if a := busy.mustRead(t, "the call in progress"); a.status != http.StatusOK {
		t.Errorf("the call in progress: %d %s", a.status, a.body)
	}
	in.waitEnded(t)
}

// Guards against late calls that a stopping instance forwards to other owners, and whose answers it can't wait for.
func TestLateCallsAreNotForwardedInAPlannedStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	in, other := d.instances[0], d.instances[1]
	own, foreign, busy := in.newRun(t), other.newRun(t), in.newRun(t)
	progress, first, second := in.connect(t), in.connect(t), in.connect(t)
	progress.send(t, turn(busy, 1, false, true))
	d.endpoint.waitBegun(t)
	in.stop()
	in.at(propagationDelay + 300*time.Millisecond)
	first.send(t, turn(own, 1, false, true))
	second.send(t, turn(foreign, 1, false, true))
	first.mustRead(t, "a call of an own run").wantRefusal(t, "a call of an own run", false)
	second.mustRead(t, "a call of another's run").wantRefusal(t, "a call of another's run", false)
	if n := d.endpoint.executions(); n != 1 {
		t.Errorf("%d executions, want only that of the first call", n)
	}
	// The refusals came at once, and not with the end of the calls in progress.
	d.endpoint.releaseAll()
	if a := progress.mustRead(t, "the call in progress"); a.status != http.StatusOK {
		t.Errorf("the call in progress: %d %s", a.status, a.body)
	}
	in.waitEnded(t)
}

// Guards against calls in progress whose callers lose their connections at the end of a stop, without an answer.
func TestCallsInProgressAreAnsweredAtTheEndOfAPlannedStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	in := d.instances[0]
	once, again, stream := in.connect(t), in.connect(t), in.connect(t)
	once.send(t, request("POST", "/v1/services/once", "{}", "Idempotency-Key", "k1"))
	d.endpoint.waitBegun(t)
	again.send(t, request("POST", "/v1/services/tools", "{}", "Idempotency-Key", "k2"))
	d.endpoint.waitBegun(t)
	run := in.newRun(t)
	stream.send(t, turn(run, 1, true, true))
	d.endpoint.waitBegun(t)
	in.stop()
	if a := once.mustRead(t, "a call that may not be repeated"); a.status != http.StatusGatewayTimeout || a.problem.NotRun {
		t.Errorf("a call that may not be repeated: %d %s", a.status, a.body)
	}
	if a := again.mustRead(t, "a repeatable call"); a.status != http.StatusServiceUnavailable || a.problem.Type != "urn:rockbarrow:undetermined" || a.problem.NotRun {
		t.Errorf("a repeatable call: %d %s", a.status, a.body)
	}
	if a := stream.mustRead(t, "a stream"); !strings.Contains(a.body, "event: delta") || !strings.Contains(a.body, "event: problem") || strings.Contains(a.body, `"not_run":true`) {
		t.Errorf("a stream: %d, ends with %q", a.status, a.body[max(0, len(a.body)-200):])
	}
	in.waitEnded(t)
	if n := d.endpoint.executions(); n != 3 {
		t.Errorf("%d executions of 3 calls", n)
	}
}

// Guards against bodies that arrive for longer than a stop lasts, so that their callers lose the connection without an answer.
func TestASlowBodyIsRefusedInAPlannedStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	in := d.instances[0]
	body := strings.Repeat(" ", 1<<10) + "{}"
	whole := request("POST", "/v1/services/tools", body)
	early, late := in.connect(t), in.connect(t)
	early.send(t, whole[:len(whole)-len(body)])
	in.stop()
	in.at(propagationDelay - time.Second)
	late.send(t, whole[:len(whole)-len(body)/2])
	early.mustRead(t, "a body that began before the stop").wantRefusal(t, "a body that began before the stop", true)
	late.mustRead(t, "a body that began in the stop").wantRefusal(t, "a body that began in the stop", true)
	in.waitEnded(t)
	if n := d.endpoint.executions(); n != 0 {
		t.Errorf("%d executions", n)
	}
}

// Guards against connections that are closed with a request on them that arrived behind another one, and with their first request.
func TestRequestsOnOpenConnectionsAreAnsweredInAPlannedStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1)
	in := d.instances[0]
	behind, inOne, first, idle := in.connect(t), in.connect(t), in.connect(t), in.connect(t)
	one := request("POST", "/v1/services/tools", "{}")
	behind.send(t, one)
	d.endpoint.waitBegun(t)
	inOne.send(t, one, one, one)
	d.endpoint.waitBegun(t)
	in.stop()
	behind.send(t, one, request("GET", "/healthz", ""))
	in.at(propagationDelay + 300*time.Millisecond)
	first.send(t, one)
	first.mustRead(t, "a first request").wantRefusal(t, "a first request", true)
	d.endpoint.releaseAll()
	for _, c := range []*connection{behind, inOne} {
		if a := c.mustRead(t, "a request in progress"); a.status != http.StatusOK {
			t.Errorf("a request in progress: %d %s", a.status, a.body)
		}
		c.mustRead(t, "a request behind it").wantRefusal(t, "a request behind it", true)
	}
	inOne.mustRead(t, "a third request").wantRefusal(t, "a third request", true)
	if a := behind.mustRead(t, "a third request"); a.status != http.StatusOK {
		t.Errorf("a third request: %d %s", a.status, a.body)
	}
	in.waitEnded(t)
	if a, err := idle.read(); err == nil {
		t.Errorf("an answer without a request: %+v", a)
	}
}

// Guards against an operator's change that a stop cuts, so that the operator doesn't learn whether it may be in force.
func TestAnOperatorsChangeInProgressIsAnsweredInAPlannedStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	var leader *instance
	eventually(t, "an instance leads", func() bool {
		for _, in := range d.instances {
			if in.daemon.source.Leader() == in.settings.Instance {
				leader = in
			}
		}
		return leader != nil
	})
	var others []string
	for _, in := range d.instances {
		if in != leader {
			others = append(others, in.settings.Instance)
		}
	}
	leader.daemon.partition.Set(others)
	c := &operatorsChange{instance: leader, done: make(chan struct{})}
	leader.stop()
	leader.at(500 * time.Millisecond)
	go c.run()
	<-c.done
	if s := status.Convert(c.err); c.err == nil || s.Code() != codes.Unknown || len(s.Details()) == 0 || !strings.Contains(s.Message(), "undetermined") {
		t.Errorf("the change ended with %v, want that its outcome is undetermined", c.err)
	}
	leader.waitEnded(t)
}

// operatorsChange is a change that is sent while the test goes on.
type operatorsChange struct {
	instance *instance
	done     chan struct{}
	err      error
}

func (c *operatorsChange) run() {
	_, c.err = apply(c.instance, "late", &configpb.Command{Changes: []*configpb.Change{{
		Edit: &configpb.Change_PutModel{PutModel: &configpb.Model{Name: "tutor", Version: "2"}},
	}}})
	close(c.done)
}

// Guards against calls that end with their owner though another instance could have answered them.
func TestACallInProgressIsHandedToAnotherOwnerAtTheEndOfAPlannedStop(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3)
	in, other := d.instances[0], d.instances[1]
	run, strict := in.newRun(t), in.newRun(t)
	repeatable, once := other.connect(t), other.connect(t)
	repeatable.send(t, turn(run, 1, false, true))
	d.endpoint.waitBegun(t)
	once.send(t, turn(strict, 1, false, false))
	d.endpoint.waitBegun(t)
	// The next call waits for the one in progress, and goes to the next owner with it.
	next := other.connect(t)
	next.send(t, turn(run, 2, false, true))
	in.stop()
	d.endpoint.waitBegun(t)
	d.endpoint.releaseAll()
	if a := repeatable.mustRead(t, "a repeatable call"); a.status != http.StatusOK {
		t.Errorf("a repeatable call: %d %s", a.status, a.body)
	}
	if a := next.mustRead(t, "the next call"); a.status != http.StatusOK {
		t.Errorf("the next call: %d %s", a.status, a.body)
	}
	if a := once.mustRead(t, "a call that may not be repeated"); a.status != http.StatusGatewayTimeout {
		t.Errorf("a call that may not be repeated: %d %s", a.status, a.body)
	}
	in.waitEnded(t)
	if n := in.counter("handed_over"); n != 2 {
		t.Errorf("%v runs were handed over, want 2", n)
	}
}
