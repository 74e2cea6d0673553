// SPDX-License-Identifier: MIT

package engine

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/dispatch"
	"rockbarrow.dev/rockbarrow/placement"
)

// pollTimeout bounds one poll of an engine.
const pollTimeout = time.Second

const (
	// nearPolls and farPolls bound the polls of one period, of engines in the own
	// failure domain and elsewhere.
	nearPolls = 8
	farPolls  = 2
)

// maxReport bounds a report's body.
const maxReport = 4 << 20

// Load is an engine's report on itself.
type Load struct {
	Incarnation         string `json:"incarnation"`
	Running             int    `json:"running"`
	WaitingPromptTokens int    `json:"waiting_prompt_tokens"`
	CacheTokensFree     int    `json:"cache_tokens_free"`
	Leaving             bool   `json:"leaving"`
	// AgeMS is how old the report is.
	AgeMS int64 `json:"age_ms"`
}

// CacheEvents is a part of an engine's list of cache events.
type CacheEvents struct {
	Incarnation string `json:"incarnation"`
	// Next is the number to ask after in the next poll.
	Next uint64 `json:"next"`
	// Gap is true when events before these were lost.
	Gap    bool         `json:"gap"`
	Events []CacheEvent `json:"events"`
}

// CacheEvent says that a prefix came into the cache or left it.
type CacheEvent struct {
	// Stored is false for an eviction.
	Stored bool `json:"stored"`
	// Key is the prefix's key, 16 hexadecimal digits.
	Key string `json:"key"`
}

// Watcher polls the engines of the configuration. Set the exported fields
// before Run.
type Watcher struct {
	HTTP       *http.Client
	Dispatcher *dispatch.Dispatcher
	Every      time.Duration
	// Near names the failure domain whose engines are polled most.
	Near string
	Log  *logrus.Entry

	// states and turn are used by loop alone.
	states map[string]*polled
	turn   int
}

// polled is what is known of one engine. Only its poll under way touches it.
type polled struct {
	watcher     *Watcher
	endpoint    *placement.Endpoint
	incarnation string
	next        uint64
	// busy is a seat that a poll under way holds.
	busy chan struct{}
}

// Run polls until ctx ends.
func (w *Watcher) Run(ctx context.Context) { w.loop(ctx) }

func (w *Watcher) loop(ctx context.Context) {
	t := time.NewTicker(w.Every)
	defer t.Stop()
	w.states = map[string]*polled{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.pollAll(ctx)
		}
	}
}

// pollAll polls some engines in turn, so that the cost does not grow with their
// number: those of the own failure domain often, the others now and then.
func (w *Watcher) pollAll(ctx context.Context) {
	f := w.Dispatcher.Fleet()
	if f == nil {
		return
	}
	var near, far []*placement.Endpoint
	for _, e := range f.Endpoints() {
		switch {
		case len(e.Config().GetModels()) == 0:
		case e.Domain() == w.Near:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	for _, e := range append(w.inTurn(near, nearPolls), w.inTurn(far, farPolls)...) {
		w.poll(ctx, e)
	}
	w.turn++
	for name := range w.states {
		if f.Endpoint(name) == nil {
			delete(w.states, name)
		}
	}
}

// inTurn returns the next few of a list, in the order of their names.
func (w *Watcher) inTurn(list []*placement.Endpoint, most int) []*placement.Endpoint {
	slices.SortFunc(list, func(a, b *placement.Endpoint) int { return cmp.Compare(a.Name(), b.Name()) })
	if len(list) <= most {
		return list
	}
	out := make([]*placement.Endpoint, 0, most)
	for i := range most {
		out = append(out, list[(w.turn*most+i)%len(list)])
	}
	return out
}

// poll starts a poll of an engine unless one is under way.
func (w *Watcher) poll(ctx context.Context, e *placement.Endpoint) {
	p := w.states[e.Name()]
	if p == nil || p.endpoint != e {
		p = &polled{watcher: w, endpoint: e, busy: make(chan struct{}, 1)}
		w.states[e.Name()] = p
	}
	select {
	case p.busy <- struct{}{}:
		go p.run(ctx)
	default:
	}
}

func (p *polled) run(ctx context.Context) {
	defer func() { <-p.busy }()
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	var load Load
	if err := p.get(ctx, "/rockbarrow/load", &load); err != nil {
		p.watcher.Log.WithError(err).WithField("endpoint", p.endpoint.Name()).Debug("no load report")
		return
	}
	p.heard(load)
	var events CacheEvents
	if err := p.get(ctx, "/rockbarrow/events?after="+strconv.FormatUint(p.next, 10), &events); err != nil {
		return
	}
	p.learn(events)
}

// heard takes a report. Only another life of the engine clears its leaving.
func (p *polled) heard(l Load) {
	if l.Incarnation != p.incarnation {
		if p.incarnation != "" {
			p.watcher.Dispatcher.Prefixes.RemoveEndpoint(p.endpoint.Name())
		}
		p.incarnation = l.Incarnation
		p.next = 0
		p.endpoint.SetDraining(l.Leaving)
	}
	if l.Leaving {
		p.endpoint.SetDraining(true)
	}
	at := time.Now().Add(-time.Duration(l.AgeMS) * time.Millisecond)
	p.endpoint.SetLoadReport(placement.NewLoadReport(l.Running, l.WaitingPromptTokens, l.CacheTokensFree, at))
}

// learn follows the cache. Over a gap some knowledge is wrong until it is used,
// which costs time only.
func (p *polled) learn(e CacheEvents) {
	if e.Incarnation != p.incarnation {
		return
	}
	p.next = e.Next
	for _, ev := range e.Events {
		key, err := strconv.ParseUint(ev.Key, 16, 64)
		if err != nil {
			continue
		}
		if ev.Stored {
			p.watcher.Dispatcher.Prefixes.Add(key, p.endpoint.Name())
			continue
		}
		p.watcher.Dispatcher.Prefixes.Remove(key, p.endpoint.Name())
	}
}

func (p *polled) get(ctx context.Context, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.endpoint.Config().GetAddress()+path, nil)
	if err != nil {
		return errors.Wrap(err, "engine: poll")
	}
	resp, err := p.watcher.HTTP.Do(req)
	if err != nil {
		return errors.Wrap(err, "engine: poll")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return &StatusError{Status: resp.StatusCode}
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(resp.Body, maxReport)).Decode(out), "engine: poll")
}

// KeyName returns how a prefix's key is written in events.
func KeyName(key uint64) string { return fmt.Sprintf("%016x", key) }
