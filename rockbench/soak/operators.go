// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbench/confighistory"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// operatorPause bounds the pause between two orders of a lossy operator.
	operatorPause = 250 * time.Millisecond
	// longPatience is how long most calls wait for an answer, and shortPatience the most that the others do.
	longPatience, shortPatience = time.Second, 60 * time.Millisecond
	// mostAttempts is how often a change is sent at the most before it is given up.
	mostAttempts = 8
	// slowSending is the longest pause in the middle of a document.
	slowSending = 700 * time.Millisecond
	// staleEvery is how many calls there are for one of an operator whose list still has control instances that were replaced.
	staleEvery = 6
	// keptDocuments is how many of the last documents are sent again.
	keptDocuments = 6
	// judgeWithin bounds the search for an order of all calls of operators.
	judgeWithin = 20 * time.Second
)

// sentDocument is the text of a configuration that was sent.
type sentDocument struct {
	version uint64
	text    []byte
}

// sentDocuments are the last ones.
type sentDocuments struct {
	mu   sync.Mutex
	list []sentDocument
}

func (s *sentDocuments) add(d sentDocument) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = append(s.list, d)
	s.list = s.list[max(0, len(s.list)-keptDocuments):]
}

// draw returns one of them, more often a newer one.
func (s *sentDocuments) draw(r *rand.Rand) (d sentDocument, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.list) == 0 {
		return d, false
	}
	return s.list[max(r.IntN(len(s.list)), r.IntN(len(s.list)))], true
}

// lossyOperator is one of several operators that work at the same time. They lose answers, send the same document again elsewhere or to
// two instances at once, give changes up whose outcome they don't know, send slowly, and keep their connections.
type lossyOperator struct {
	fleet  *fleet
	r      *rand.Rand
	client *http.Client
	// preferred is the failure domain whose control instances get half of the calls, empty for none.
	preferred string
	// quiet is true if no faults follow its calls.
	quiet bool
}

func newLossyOperator(f *fleet, r *rand.Rand) *lossyOperator {
	return &lossyOperator{fleet: f, r: r, client: &http.Client{Transport: &http.Transport{
		DialContext: (&net.Dialer{Timeout: longPatience}).DialContext, MaxIdleConnsPerHost: 2,
	}}}
}

func (o *lossyOperator) loop(ctx context.Context) {
	defer o.client.CloseIdleConnections()
	for wait.For(ctx, time.Duration(o.r.Int64N(int64(operatorPause)))) {
		switch o.r.IntN(10) {
		case 0, 1, 2:
			o.change(ctx)
		case 3:
			o.contest(ctx)
		case 4:
			o.resend(ctx, o.draw())
		case 5:
			o.sendInvalid(ctx, o.draw())
		case 6:
			o.sendNothing(ctx, o.draw())
		default:
			o.read(ctx, o.draw())
		}
	}
}

// draw returns a control instance to call.
func (o *lossyOperator) draw() *instance {
	list := o.fleet.controls()
	if o.r.IntN(staleEvery) == 0 {
		list = append(o.fleet.replacedControls(), list...)
	}
	if o.preferred != "" && o.r.IntN(2) == 0 {
		list = slices.DeleteFunc(slices.Clone(list), func(c *instance) bool { return c.plan.FailureDomain != o.preferred })
	}
	return list[o.r.IntN(len(list))]
}

// change makes the next version and sends it.
func (o *lossyOperator) change(ctx context.Context) {
	f := o.fleet
	f.configuring.Lock()
	changes, err := f.change()
	if err != nil {
		f.configuring.Unlock()
		f.ledger.AddViolation("%v", err)
		return
	}
	d := f.document(f.version)
	f.history.send(f.version, changes)
	f.configuring.Unlock()
	o.deliver(ctx, d)
}

// contest makes two configurations of the next version, each with a route that the other has not, and sends both at the same time.
func (o *lossyOperator) contest(ctx context.Context) {
	f := o.fleet
	f.configuring.Lock()
	documents, changes, err := f.contestants()
	if err != nil {
		f.configuring.Unlock()
		f.ledger.AddViolation("%v", err)
		return
	}
	f.history.send(f.version, changes)
	f.configuring.Unlock()
	other := newLossyOperator(f, rand.New(rand.NewPCG(o.r.Uint64(), 0)))
	defer other.client.CloseIdleConnections()
	var sending sync.WaitGroup
	sending.Go(func() { other.deliver(ctx, documents[1]) })
	o.deliver(ctx, documents[0])
	sending.Wait()
}

// deliver sends a document until it is acknowledged, or given up.
func (o *lossyOperator) deliver(ctx context.Context, d *fleetpb.Document) {
	f := o.fleet
	text, err := f.operator.Encode(d)
	if err != nil {
		f.ledger.AddViolation("%v", err)
		return
	}
	sent := sentDocument{version: d.GetVersion(), text: text}
	f.sent.add(sent)
	for range 1 + o.r.IntN(mostAttempts) {
		if o.send(ctx, sent) {
			return
		}
		if !wait.For(ctx, time.Duration(o.r.Int64N(int64(operatorPause)))) {
			return
		}
	}
	f.ledger.Count("configurations given up without an answer")
}

// send sends a document to one instance, or to two at once, and reports whether one acknowledged it.
func (o *lossyOperator) send(ctx context.Context, d sentDocument) (acknowledged bool) {
	if o.r.IntN(4) > 0 {
		return o.sendTo(ctx, o.draw(), o.call(d)) == http.StatusOK
	}
	one, other, first, second := o.draw(), o.draw(), o.call(d), o.call(d)
	var status int
	var sending sync.WaitGroup
	sending.Go(func() { status = o.sendTo(ctx, other, second) })
	acknowledged = o.sendTo(ctx, one, first) == http.StatusOK
	sending.Wait()
	return acknowledged || status == http.StatusOK
}

// patientCall is a call with the time for which its sender waits for the answer.
type patientCall struct {
	standin.OperatorCall
	patience time.Duration
}

func (o *lossyOperator) call(d sentDocument) *patientCall {
	c := &patientCall{OperatorCall: standin.OperatorCall{Document: d.text, Version: d.version}, patience: longPatience}
	switch o.r.IntN(6) {
	case 0, 1:
		c.patience = time.Duration(o.r.Int64N(int64(shortPatience)))
	case 2:
		c.Pause = time.Duration(o.r.Int64N(int64(slowSending)))
	}
	return c
}

func (o *lossyOperator) sendTo(ctx context.Context, to *instance, c *patientCall) (status int) {
	f := o.fleet
	if !o.quiet {
		f.tell(event{kind: changeSent, instance: to})
	}
	c.Address = to.plan.OperatorAddress
	if status = o.do(ctx, c); status != http.StatusOK {
		return status
	}
	f.operations.Changes.Acknowledge(c.Version)
	f.operator.Acknowledge(c.Version, nil)
	if !o.quiet {
		f.tell(event{kind: changeAcknowledged, instance: to})
	}
	return status
}

// do makes a call and counts its outcome.
func (o *lossyOperator) do(ctx context.Context, c *patientCall) (status int) {
	ctx, cancel := context.WithTimeout(ctx, c.patience)
	defer cancel()
	status = o.fleet.operator.Do(ctx, o.client, &c.OperatorCall)
	kind := "changes"
	switch {
	case c.Read:
		kind = "reads"
	case c.Invalid != "":
		kind = "invalid changes"
	}
	o.fleet.ledger.Count(fmt.Sprintf("%s of lossy operators with status %d", kind, status))
	return status
}

// resend sends one of the last documents once more. It must not be refused for good, whatever was sent since.
func (o *lossyOperator) resend(ctx context.Context, to *instance) (status int) {
	d, ok := o.fleet.sent.draw(o.r)
	if !ok {
		return 0
	}
	return o.sendTo(ctx, to, o.call(d))
}

// sendInvalid sends a document that no instance may accept.
func (o *lossyOperator) sendInvalid(ctx context.Context, to *instance) (status int) {
	f := o.fleet
	f.configuring.Lock()
	why, text := f.invalid(o.r)
	f.configuring.Unlock()
	if why == "" {
		return 0
	}
	return o.do(ctx, &patientCall{OperatorCall: standin.OperatorCall{Address: to.plan.OperatorAddress, Document: text, Invalid: why}, patience: longPatience})
}

// sendNothing sends a document without a byte.
func (o *lossyOperator) sendNothing(ctx context.Context, to *instance) (status int) {
	return o.do(ctx, &patientCall{OperatorCall: standin.OperatorCall{Address: to.plan.OperatorAddress, Invalid: "no bytes"}, patience: longPatience})
}

// read reads the configuration.
func (o *lossyOperator) read(ctx context.Context, from *instance) (status int) {
	return o.do(ctx, &patientCall{OperatorCall: standin.OperatorCall{Address: from.plan.OperatorAddress, Read: true}, patience: longPatience})
}

// contestants makes two configurations of the next version; the caller holds configuring.
func (f *fleet) contestants() (documents []*fleetpb.Document, changes map[string]confighistory.Behaviour, err error) {
	if changes, err = f.change(); err != nil {
		return nil, nil, err
	}
	for i := range 2 {
		path := fmt.Sprintf("/contested-%d-%d/", f.version, i)
		changes[path] = confighistory.Behaviour{Services: []string{toolService}, Contested: true}
		f.routes.contested = path
		documents = append(documents, f.document(f.version))
		f.routes.contestants = append(f.routes.contestants, path)
	}
	f.routes.contested = ""
	return documents, changes, nil
}

// scope is which instances faults at events meet.
type scope int

const (
	// oneDomain is one failure domain alone, so that all else has to go on.
	oneDomain scope = iota
	// everywhere is any instance, more at a time than the tolerated losses.
	everywhere
	// onlyCuts are cuts between instances with disks, by which nothing is lost.
	onlyCuts
)

// scopeOf returns the scope of a seed.
func scopeOf(seed uint64) scope { return []scope{oneDomain, everywhere, oneDomain, onlyCuts}[seed%4] }

// goLossy starts the lossy operators and the faults that follow events.
func (s *soak) goLossy(running *sync.WaitGroup, faulty context.Context) {
	x := &reactor{soak: s, r: rand.New(rand.NewPCG(s.cfg.Seed, seedOfEvents)), scope: scopeOf(s.cfg.Seed)}
	if x.scope == oneDomain {
		x.domain = s.fleet.controls()[x.r.IntN(len(s.fleet.controls()))].plan.FailureDomain
	}
	for i := range uint64(s.cfg.Operators) {
		o := newLossyOperator(s.fleet, rand.New(rand.NewPCG(s.cfg.Seed, seedOfEvents+1+i)))
		o.preferred = x.domain
		running.Go(func() { o.loop(faulty) })
	}
	running.Go(func() { x.loop(faulty) })
}

// tell tells of an event, unless nobody keeps up with them.
func (f *fleet) tell(e event) {
	select {
	case f.events <- e:
	default:
	}
}
