// SPDX-License-Identifier: MIT

package host

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/peerpb"
)

const (
	// maxHints bounds the remembered owners.
	maxHints = 16_384
	// askPause is how long the entry waits before it asks all again.
	askPause = 100 * time.Millisecond
	// unknownRounds is how often all instances of a home are asked before a run
	// that none knows is called unknown.
	unknownRounds = 2
	// searchTime bounds the search for an instance that takes the request.
	searchTime = 15 * time.Second
)

// hints remembers which instance owned a run last; a wrong one costs a redirect.
type hints struct {
	mu     sync.Mutex
	owners map[string]string
}

func (t *hints) get(run string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.owners[run]
}

func (t *hints) put(run, instance string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.owners == nil || len(t.owners) >= maxHints {
		t.owners = map[string]string{}
	}
	t.owners[run] = instance
}

// route is the way of one request to the run's owner.
type route struct {
	host *Host
	req  *peerpb.DoRequest
	emit func(*peerpb.DoEvent) error
	// forwarded is true once the request may have reached an owner, after which
	// only the owner can say that it did not run.
	forwarded bool
	// emitErr is the caller's own error, which ends the route.
	emitErr error
	// last is the newest refusal of an instance that could not serve.
	last *peerpb.Problem
	// attempt and offset tell how much of the stream the caller has.
	attempt uint32
	offset  uint64
	started time.Time
}

// Do carries a request to the run's owner and hands its events to emit. It asks
// again after a redirect or a lost connection, which is safe as the request
// keeps its id, until ctx or the call timeout ends it.
func (h *Host) Do(ctx context.Context, req *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error {
	ctx, cancel := context.WithTimeout(ctx, h.CallTimeout)
	defer cancel()
	w := &route{host: h, req: req, emit: emit, started: time.Now()}
	for round := 0; ; round++ {
		known, done := w.askAll(ctx)
		if done {
			return w.emitErr
		}
		if ctx.Err() != nil {
			return emit(problem.Event(w.verdict()))
		}
		if !known && round+1 >= unknownRounds {
			return emit(problem.Event(w.unknown()))
		}
		if time.Since(w.started) > searchTime {
			return emit(problem.Event(w.verdict()))
		}
		select {
		case <-ctx.Done():
			return emit(problem.Event(w.verdict()))
		case <-time.After(askPause):
		}
	}
}

// unknown is the refusal of a run that no instance of its home knows.
func (w *route) unknown() *peerpb.Problem {
	if !w.forwarded && w.allAnswered() {
		return problem.New(problem.NotFound, "there is no such run")
	}
	return w.verdict()
}

// verdict is what is certain when the time is over.
func (w *route) verdict() *peerpb.Problem {
	if w.forwarded && w.last == nil {
		return problem.Retry(problem.Undetermined, "resend under the same request id to learn the outcome", time.Second)
	}
	if w.last != nil {
		return w.last
	}
	return problem.Retry(problem.NotServing, "no instance of the run's home could be asked", time.Second)
}

// allAnswered reports whether no instance of the home is missing that could
// know the run.
func (w *route) allAnswered() bool {
	for _, i := range w.host.View().RankByKey(w.req.GetRun(), HomeDomain(w.req.GetRun()), true) {
		if i.State() == roster.Dead || i.State() == roster.Unknown {
			return false
		}
	}
	return true
}

// askAll asks the likely owner first and then the others of the home, in order.
// It reports whether any knew the run, and whether the request is settled.
func (w *route) askAll(ctx context.Context) (known, done bool) {
	run := w.req.GetRun()
	if hint := w.host.hints.get(run); hint != "" {
		k, d := w.follow(ctx, hint)
		if d {
			return true, true
		}
		known = known || k
	}
	for _, i := range w.host.View().RankByKey(run, HomeDomain(run), true) {
		if i.State() == roster.Dead || ctx.Err() != nil {
			continue
		}
		k, d := w.follow(ctx, i.Instance())
		if d {
			return true, true
		}
		known = known || k
	}
	return known, false
}

// follow asks an instance and goes where it redirects, a few times.
func (w *route) follow(ctx context.Context, instance string) (known, done bool) {
	const most = 4
	takeOver := false
	for range most {
		next, settled := w.ask(ctx, instance, takeOver)
		if settled {
			w.host.hints.put(w.req.GetRun(), instance)
			return true, true
		}
		if next == nil {
			return known || w.last != nil, false
		}
		if next.GetInstance() == "" || next.GetInstance() == instance {
			return known, false
		}
		known = true
		instance = next.GetInstance()
		takeOver = next.GetTakeOver()
	}
	return known, false
}

// request returns the request as the next instance should get it.
func (w *route) request(takeOver bool) *peerpb.DoRequest {
	if !takeOver && w.attempt == 0 {
		return w.req
	}
	req := proto.CloneOf(w.req)
	req.TakeOver = takeOver
	if t := req.GetTurn(); t != nil && w.attempt != 0 {
		t.ResumeAttempt = w.attempt
		t.ResumeOffset = w.offset
	}
	return req
}

// ask sends the request to one instance. It returns a redirect to follow, or
// nil when the instance could not be asked or cannot serve.
func (w *route) ask(ctx context.Context, instance string, takeOver bool) (next *peerpb.Redirect, settled bool) {
	req := w.request(takeOver)
	emit := func(e *peerpb.DoEvent) error {
		switch b := e.GetBody().(type) {
		case *peerpb.DoEvent_Redirect:
			next = b.Redirect
			return nil
		case *peerpb.DoEvent_Delta:
			w.attempt = b.Delta.GetAttempt()
			w.offset = b.Delta.GetOffset() + uint64(len(b.Delta.GetContent()))
		case *peerpb.DoEvent_Problem:
			if passing(b.Problem) {
				w.last = b.Problem
				return nil
			}
		}
		settled = settled || final(e)
		if err := w.emit(e); err != nil {
			w.emitErr = err
			settled = true
			return err
		}
		return nil
	}
	w.last = nil
	var err error
	if instance == w.host.Instance {
		err = w.host.Serve(ctx, req, emit)
	} else {
		err = w.askPeer(ctx, instance, req, emit)
	}
	// An instance that answered with a redirect or could not serve has not
	// proposed anything; one that was lost on the way may have.
	if err != nil {
		w.forwarded = true
	}
	return next, settled
}

// askPeer gives up on a peer that dies or restarts while it serves.
func (w *route) askPeer(ctx context.Context, instance string, req *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	i, _ := w.host.View().Find(instance)
	go (&watch{host: w.host, instance: instance, incarnation: i.Heartbeat().Incarnation(), cancel: cancel}).loop(ctx)
	return w.host.Peers.Do(ctx, instance, req, emit)
}

// watch cancels a request to a peer whose life is over, as a connection to a
// paused or cut-off peer may stay open.
type watch struct {
	host        *Host
	instance    string
	incarnation uint64
	cancel      context.CancelFunc
}

func (w *watch) loop(ctx context.Context) {
	t := time.NewTicker(tickPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			i, _ := w.host.View().Find(w.instance)
			if i.State() == roster.Dead || i.Heartbeat().Incarnation() != w.incarnation {
				w.cancel()
				return
			}
		}
	}
}

// passing reports whether a refusal is about the instance, not the request, so
// that another instance or a later try may serve.
func passing(p *peerpb.Problem) bool { return p.GetType() == string(problem.NotServing) }

func final(e *peerpb.DoEvent) bool {
	switch e.GetBody().(type) {
	case *peerpb.DoEvent_Final, *peerpb.DoEvent_Problem, *peerpb.DoEvent_View:
		return true
	}
	return false
}
