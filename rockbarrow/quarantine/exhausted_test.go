// SPDX-License-Identifier: MIT

package quarantine

import (
	"fmt"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/incarnation"
)

// TestACompletionClearsNoExhaustedRequest guards against an attempt that began before the last end and completes: the request was
// sent to endpoints again. One that many clients may send is cleared, as it does not end every endpoint.
func TestACompletionClearsNoExhaustedRequest(t *testing.T) {
	for _, program := range []string{"p", ""} {
		w := newWorld(t)
		k := keysOf(program, "deadly")
		for n := range MaxEnds {
			at := w.freshEndpoint()
			w.ask(k, at, fmt.Sprint(n))
			w.now = w.now.Add(time.Second)
			w.end(at, 50*time.Millisecond, k)
		}
		w.registry.Completed(w.now, k)
		_, free := w.ask(k, w.freshEndpoint(), "next").(Free)
		if shared := program == ""; free != shared {
			t.Errorf("shared %v: free %v", shared, free)
		}
	}
}

// TestNoExecutionIsGrantedAfterTheLastEnd guards against ends that don't count: those of a request that shared its endpoints with
// another one, of requests that met chance, of overlapping trials, and of a hold that ran out.
func TestNoExecutionIsGrantedAfterTheLastEnd(t *testing.T) {
	for _, program := range []string{"p", ""} {
		w := newWorld(t)
		k, other := keysOf(program, "deadly"), keysOf("q", "other")
		w.end(w.freshEndpoint(), 50*time.Millisecond, k, other)
		sent := 1
		for n := range 200 {
			w.now = w.now.Add(500 * time.Millisecond)
			// Others end by chance, so that nobody can tell.
			w.end(w.freshEndpoint(), 50*time.Millisecond)
			one, two := w.freshEndpoint(), w.freshEndpoint()
			granted := []incarnation.ID{}
			for i, at := range []incarnation.ID{one, two} {
				if w.ask(k, at, fmt.Sprint(n, "-", i)) == (Granted{}) {
					granted = append(granted, at)
					sent++
				}
			}
			for _, at := range granted {
				w.end(at, 50*time.Millisecond, k, other)
			}
		}
		if sent != MaxEnds {
			t.Errorf("program %q: sent to %d endpoints", program, sent)
		}
	}
}

// TestAnUncertainEndCounts guards against an instance that may have sent the request and can't tell: the last execution is not
// granted until it can.
func TestAnUncertainEndCounts(t *testing.T) {
	w := newWorld(t)
	k := keysOf("p", "deadly")
	ask := func(unknown int, uncertain bool) Decision {
		return w.registry.Ask(w.now, Question{Keys: k, Endpoint: w.freshEndpoint(), Asker: "a", Until: w.now.Add(time.Second), Unknown: unknown, Uncertain: uncertain})
	}
	for n := range MaxEnds {
		w.end(w.freshEndpoint(), 50*time.Millisecond, k)
		w.now = w.now.Add(time.Second)
		if d := ask(1, false); n+1 == MaxEnds-1 && d != (Held{}) {
			t.Errorf("%v after %d ends and one that is never known", d, n+1)
		}
		switch d := ask(0, true).(type) {
		case Granted:
			if n+1 >= MaxEnds-1 {
				t.Errorf("granted after %d ends", n+1)
			}
		case Held:
			if n+1 != MaxEnds-1 || d.RetryAfter == 0 {
				t.Errorf("held for %v after %d ends", d.RetryAfter, n+1)
			}
		case Refused:
			if n+1 != MaxEnds {
				t.Errorf("refused after %d ends", n+1)
			}
		default:
			t.Errorf("%T after %d ends", d, n+1)
		}
	}
}

// TestAPopularRequestIsNotStoppedByLosses guards against refusing what everybody sends for ten minutes: endpoints of a failure domain end
// together while it is in progress there, and entry instances of the domain with them.
func TestAPopularRequestIsNotStoppedByLosses(t *testing.T) {
	for n := 1; n <= 8; n++ {
		w := newWorld(t)
		popular := KeysOf(Sender{}, []byte("popular"), Content{Method: "POST", Host: "h", Target: "/t", Body: []byte("popular")})
		for range n {
			w.end(w.freshEndpoint(), 100*time.Millisecond, popular)
		}
		for i := range 5 {
			q := Question{Keys: popular, Endpoint: w.freshEndpoint(), Asker: fmt.Sprint(i), Until: w.now.Add(time.Second), Unknown: 1, Uncertain: true}
			if d := w.registry.Ask(w.now, q); d != (Granted{}) {
				t.Fatalf("%d endpoints ended, ask %d: %v", n, i, d)
			}
			// The entry instance ends before it reports an outcome.
			w.now = w.now.Add(time.Second + trialSlack)
		}
	}
}

// TestATrialWithAnUnknownOutcomeIsOver guards against clients that are told to wait for an execution that is over.
func TestATrialWithAnUnknownOutcomeIsOver(t *testing.T) {
	w := newWorld(t)
	k, at := keysOf("p", "deadly"), w.freshEndpoint()
	for range MaxEnds - 1 {
		w.now = w.now.Add(time.Second)
		w.end(w.freshEndpoint(), 50*time.Millisecond, k)
	}
	if d := w.ask(k, at, "x"); d != (Granted{}) {
		t.Fatalf("%T", d)
	}
	w.registry.Expire(w.now, k, at, "another")
	if d := w.ask(k, w.freshEndpoint(), "y"); d != (Busy{}) {
		t.Errorf("%T during the trial", d)
	}
	w.registry.Expire(w.now, k, at, "x")
	if d := w.ask(k, w.freshEndpoint(), "y"); d != (Held{}) {
		t.Errorf("%T after the trial", d)
	}
}
