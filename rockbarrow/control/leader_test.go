// SPDX-License-Identifier: MIT

package control

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/operatorpb"
	"rockbarrow.dev/schema/recordpb"
)

var testDomains = []FailureDomain{NewFailureDomain("east", 3, 1), NewFailureDomain("west", 2, 0)}

func putModel(name string) *configpb.Command {
	return &configpb.Command{Changes: []*configpb.Change{{Edit: &configpb.Change_PutModel{PutModel: &configpb.Model{Name: name}}}}}
}

// cluster runs voters and leaders and lets the test control message delivery.
type cluster struct {
	t            testing.TB
	voters       journal.Members
	replicas     map[journal.Member]*journal.Replica
	leaders      []*Leader
	queue        []func()
	down         map[string]bool
	outcomes     map[RequestID]*recordpb.ControlOutcome
	undetermined map[RequestID]bool
	doc          *configpb.Document
	round        uint64
	now          time.Time
}

func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{
		t: t, replicas: map[journal.Member]*journal.Replica{}, down: map[string]bool{},
		outcomes: map[RequestID]*recordpb.ControlOutcome{}, undetermined: map[RequestID]bool{}, now: time.Unix(1000, 0),
	}
	for i := range n {
		m := journal.NewMember(fmt.Sprintf("v%d", i), 1)
		c.voters = append(c.voters, m)
		c.replicas[m] = &journal.Replica{}
	}
	return c
}

func (c *cluster) startLeader(m journal.Member) int {
	c.round++
	l := &Leader{Self: m, Incarnation: c.round, Voters: c.voters, Replica: c.replicas[m], FailureDomains: testDomains, CompactAfter: 20}
	c.leaders = append(c.leaders, l)
	c.step(len(c.leaders)-1, Campaign{Round: c.round})
	return len(c.leaders) - 1
}

func (c *cluster) step(i int, e Event) {
	for _, a := range c.leaders[i].Handle(c.now, e) {
		switch a := a.(type) {
		case Send:
			c.queue = append(c.queue, func() { c.deliver(i, a) })
		case Respond:
			c.outcomes[a.ID] = a.Outcome
		case Publish:
			if a.Document.GetVersion() > c.doc.GetVersion() {
				c.doc = a.Document
			}
		case LeadershipLost:
			for _, id := range a.Pending {
				c.undetermined[id] = true
			}
		}
	}
}

func (c *cluster) deliver(i int, a Send) {
	r := c.replicas[a.To]
	if r == nil || c.down[a.To.Instance()] || c.down[c.leaders[i].Self.Instance()] && a.To.Instance() != c.leaders[i].Self.Instance() {
		c.step(i, SendFailed{To: a.To})
		return
	}
	reply, _ := r.Handle(a.Message)
	c.queue = append(c.queue, func() { c.step(i, ReplyReceived{From: a.To, Reply: reply}) })
}

func (c *cluster) drain() {
	for n := 0; len(c.queue) > 0 && n < 10_000; n++ {
		f := c.queue[0]
		c.queue = c.queue[1:]
		f()
	}
}

func (c *cluster) send(i int, id RequestID, command string, expected uint64, cmd *configpb.Command) {
	c.step(i, CommandReceived{ID: id, Operator: "op", Request: &operatorpb.ApplyRequest{CommandId: command, ExpectedVersion: expected, Command: cmd}})
}

func (c *cluster) wantOutcome(id RequestID, result recordpb.ControlOutcome_Result, version uint64) *recordpb.ControlOutcome {
	c.t.Helper()
	out := c.outcomes[id]
	if out.GetResult() != result || out.GetVersion() != version {
		c.t.Fatalf("outcome of command %d: %v, want %v at version %d", id, out, result, version)
	}
	return out
}

func TestTwoOperatorsRaceUnderOneVersion(t *testing.T) {
	c := newCluster(t, 3)
	l := c.startLeader(c.voters[0])
	c.drain()
	c.send(l, 1, "first", 0, putModel("a"))
	c.drain()
	c.send(l, 2, "left", 1, putModel("b"))
	c.send(l, 3, "right", 1, putModel("c"))
	c.drain()
	c.wantOutcome(2, recordpb.ControlOutcome_RESULT_ACCEPTED, 2)
	if out := c.wantOutcome(3, recordpb.ControlOutcome_RESULT_CONFLICT, 2); out.GetWinner() != "left" {
		t.Fatalf("the conflict names command %q, want left", out.GetWinner())
	}
}

func TestResentCommandGetsFirstOutcome(t *testing.T) {
	c := newCluster(t, 3)
	l := c.startLeader(c.voters[0])
	c.drain()
	c.send(l, 1, "x", 0, putModel("a"))
	c.drain()
	c.send(l, 2, "y", 0, putModel("b"))
	c.drain()
	next := c.startLeader(c.voters[1])
	c.drain()
	c.send(next, 3, "x", 0, putModel("a"))
	c.send(next, 4, "x", 0, putModel("other"))
	c.drain()
	c.wantOutcome(3, recordpb.ControlOutcome_RESULT_ACCEPTED, 1)
	c.wantOutcome(4, recordpb.ControlOutcome_RESULT_REUSED_ID, 2)
}

func TestInvalidCommandListsFields(t *testing.T) {
	c := newCluster(t, 3)
	l := c.startLeader(c.voters[0])
	c.drain()
	bad := &configpb.Command{Changes: []*configpb.Change{
		{Edit: &configpb.Change_PutBinding{PutBinding: &configpb.Binding{Name: "b", Domains: []string{"mars"}}}},
		{Edit: &configpb.Change_PutProgram{PutProgram: &configpb.Program{Name: "p", Customer: "nobody", Model: "none", Binding: "b"}}},
		{Edit: &configpb.Change_Remove{Remove: &configpb.Removal{Kind: configpb.Removal_KIND_MODEL, Name: "ghost"}}},
	}}
	c.send(l, 1, "x", 0, bad)
	c.drain()
	out := c.wantOutcome(1, recordpb.ControlOutcome_RESULT_INVALID, 0)
	found := map[string]bool{}
	for _, v := range out.GetViolations() {
		found[v.GetField()] = true
	}
	for _, field := range []string{"remove[ghost]", "bindings[b].domains[0]", "programs[p].customer", "programs[p].model", "programs[p].budget_tokens", "programs[p].binding"} {
		if !found[field] {
			t.Errorf("no violation of %s in %v", field, out.GetViolations())
		}
	}
}

func TestCutOffLeaderCannotAcceptAndLearnsNothingWrong(t *testing.T) {
	c := newCluster(t, 3)
	old := c.startLeader(c.voters[0])
	c.drain()
	c.down["v0"] = true
	c.send(old, 1, "lost", 0, putModel("a"))
	c.drain()
	if c.outcomes[1] != nil {
		t.Fatalf("a leader without a majority answered %v", c.outcomes[1])
	}
	next := c.startLeader(c.voters[1])
	c.drain()
	for i := range RequestID(300) {
		c.send(next, 10+i, fmt.Sprintf("c%d", i), 0, putModel("m"))
		c.drain()
	}
	c.wantOutcome(309, recordpb.ControlOutcome_RESULT_ACCEPTED, 300)
	c.down["v0"] = false
	c.step(old, Tick{})
	c.drain()
	if !c.undetermined[1] || c.leaders[old].AcceptsCommands() {
		t.Fatal("the old leader did not step down after another leader took over")
	}
	back := c.startLeader(c.voters[0])
	c.drain()
	if got := c.leaders[back].State().Document().GetVersion(); got != 300 {
		t.Fatalf("version %d after the old leader's return, want 300", got)
	}
}

func TestVoterLostRightAfterOneWasReplaced(t *testing.T) {
	c := newCluster(t, 3)
	l := c.startLeader(c.voters[0])
	c.drain()
	c.send(l, 1, "x", 0, putModel("a"))
	c.drain()
	c.down["v2"] = true
	replacement := journal.NewMember("v2", 2)
	c.replicas[replacement] = &journal.Replica{}
	c.down["v2"] = false
	delete(c.replicas, c.voters[2])
	c.step(l, ReplaceVoter{New: replacement, Old: c.voters[2]})
	for range 6 {
		c.drain()
		c.step(l, Tick{})
	}
	c.drain()
	if m := c.leaders[l].Writer().Members(); len(m) != 3 || !m.Contains(replacement) {
		t.Fatalf("voters %v, want the new incarnation of v2 in place of the lost one", m)
	}
	c.down["v1"] = true
	c.send(l, 2, "y", 0, putModel("b"))
	c.drain()
	c.wantOutcome(2, recordpb.ControlOutcome_RESULT_ACCEPTED, 2)
}

func TestAuditTrailAcrossSnapshots(t *testing.T) {
	c := newCluster(t, 3)
	l := c.startLeader(c.voters[0])
	c.drain()
	for i := range RequestID(50) {
		c.send(l, i+1, fmt.Sprintf("c%d", i), 0, putModel("m"))
		c.drain()
	}
	next := c.startLeader(c.voters[2])
	c.drain()
	trail := c.leaders[next].State().Audit()
	if len(trail) != 50 {
		t.Fatalf("%d audit records, want 50", len(trail))
	}
	var prev []byte
	for i, record := range trail {
		if !bytes.Equal(AuditDigest(prev, record), record.GetDigest()) {
			t.Fatalf("the digest of audit record %d does not match the preceding record", i)
		}
		prev = record.GetDigest()
	}
	if c.leaders[l].Writer().Log().Base().Index() == 0 {
		t.Fatal("the journal was never compacted")
	}
}

// registerInput is the expected version of a command.
type registerInput struct{ expected uint64 }

// registerOutput is the outcome of a command.
type registerOutput struct {
	accepted bool
	version  uint64
}

// versionRegister is the sequential model of the configuration's version.
var versionRegister = porcupine.Model{
	Init: func() any { return uint64(1) },
	Step: func(state, input, output any) (bool, any) {
		version, in, out := state.(uint64), input.(registerInput), output.(registerOutput)
		if out.accepted {
			return in.expected == version && out.version == version+1, version + 1
		}
		return out.version == version && in.expected != version, version
	},
}

// TestCommandsAreLinearizable checks the outcomes of concurrent commands against a
// sequential register while leaders compete and messages are lost.
func TestCommandsAreLinearizable(t *testing.T) {
	known, accepted := 0, 0
	for seed := range uint64(150) {
		r := rand.New(rand.NewPCG(seed, 9))
		c := newCluster(t, 3)
		c.startLeader(c.voters[0])
		c.drain()
		c.send(0, 5000, "first", 0, putModel("m"))
		c.drain()
		type operation struct {
			id       RequestID
			expected uint64
			at       int64
		}
		var all []operation
		returnedAt := map[RequestID]int64{}
		clock := int64(0)
		for n := range 120 {
			clock++
			switch x := r.IntN(12); {
			case x == 0:
				c.down = map[string]bool{fmt.Sprintf("v%d", r.IntN(4)): true}
			case x == 1 && n < 100:
				c.startLeader(c.voters[r.IntN(3)])
			case x < 5:
				id := RequestID(n + 1)
				a := operation{id, c.doc.GetVersion() + uint64(r.IntN(5)/4), clock}
				all = append(all, a)
				c.send(r.IntN(len(c.leaders)), id, fmt.Sprintf("c%d", n), a.expected, putModel("m"))
			default:
				for k := r.IntN(8); k > 0 && len(c.queue) > 0; k-- {
					i := r.IntN(min(3, len(c.queue)))
					f := c.queue[i]
					c.queue = append(c.queue[:i:i], c.queue[i+1:]...)
					f()
				}
				for i := range c.leaders {
					c.step(i, Tick{})
				}
			}
			for id := range c.outcomes {
				if returnedAt[id] == 0 {
					returnedAt[id] = clock
				}
			}
		}
		// A final leader knows the outcomes that were not delivered.
		c.down = map[string]bool{}
		last := c.startLeader(c.voters[0])
		c.drain()
		var ops []porcupine.Operation
		for _, a := range all {
			out, end := c.outcomes[a.id], returnedAt[a.id]
			if end == 0 {
				end = 1 << 40
			}
			if out == nil {
				out = c.leaders[last].State().Outcome(fmt.Sprintf("c%d", a.id-1))
			}
			if out == nil {
				continue
			}
			known++
			ok := out.GetResult() == recordpb.ControlOutcome_RESULT_ACCEPTED
			if ok {
				accepted++
			}
			ops = append(ops, porcupine.Operation{
				ClientId: int(a.id), Input: registerInput{a.expected}, Call: a.at,
				Output: registerOutput{accepted: ok, version: out.GetVersion()}, Return: end,
			})
		}
		if res := porcupine.CheckOperationsTimeout(versionRegister, ops, 20*time.Second); res != porcupine.Ok {
			t.Fatalf("seed %d: the outcomes are not linearizable (%v)", seed, res)
		}
	}
	if known < 500 || accepted < 200 {
		t.Fatalf("only %d outcomes and %d accepted commands, too few for the check", known, accepted)
	}
}
