// SPDX-License-Identifier: MIT

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"rockbarrow.dev/platform/wire"
)

const (
	host = "ficu95.example"
	// timeLimit is how long a consumer waits for a request, with its retries.
	timeLimit = 5 * time.Second
	// turnRetries is how often a turn that has failed is sent again.
	turnRetries = 2
)

// httpClient opens a connection for each request.
var httpClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}

// attempt is one consumer attempt and its answer.
type attempt struct {
	id, previous string
	entry        *machine
	status       int
	// whole is true if the answer was complete.
	whole bool
	body  string
	retry time.Duration
	ended time.Time
}

// program is an agent program: a line of turns.
type program struct {
	name   string
	record *record
	budget int
	// previous is the id of the last turn that was answered whole, and answeredAt when that was.
	previous   string
	answeredAt time.Time
	history    []byte
	sent       int
	// denied are the attempts that got 404 or 410 although their previous turn was answered whole.
	denied []attempt
}

// lastAttempt makes ids unique.
var lastAttempt atomic.Uint64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), lastAttempt.Add(1)) }

// turn sends one turn through an entry machine, with the retries of a consumer, and reports whether it was answered whole.
func (p *program) turn(ctx context.Context, entry *machine, input []byte) bool {
	for again := 0; again <= turnRetries; again++ {
		if again > 0 {
			pause(ctx, 100*time.Millisecond+rand.N(300*time.Millisecond))
		}
		end := time.Now().Add(timeLimit)
		for retry := 0; retry <= 1; retry++ {
			if ctx.Err() != nil {
				return false
			}
			a := p.send(ctx, entry, input, time.Until(end))
			switch {
			case a.whole && a.status == http.StatusOK:
				p.accept(a, input)
				return true
			case a.status == http.StatusNotFound || a.status == http.StatusGone:
				if a.previous != "" {
					p.denied = append(p.denied, a)
				}
				return false
			case a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests:
				if a.retry > time.Until(end)/3 {
					continue
				}
				pause(ctx, a.retry)
				continue
			case a.status >= 400 && a.status < 500:
				return false
			}
			// Not repeatable and no promise: the consumer does not retry this attempt.
			break
		}
	}
	return false
}

// pause waits until d has passed or ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

func (p *program) accept(a attempt, input []byte) {
	p.previous, p.answeredAt = a.id, a.ended
	p.history = append(p.history, input...)
	for _, line := range strings.Split(a.body, "\n") {
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			p.history = append(p.history, data+"\n"...)
		}
	}
}

// send sends one attempt of a turn.
func (p *program) send(ctx context.Context, entry *machine, input []byte, left time.Duration) attempt {
	a := attempt{id: newID(), previous: p.previous, entry: entry}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry.address(frontPort)+"/lohu930/4b", bytes.NewReader(input))
	if err != nil {
		panic(err)
	}
	req.Host = host
	h := req.Header
	h.Set(wire.RequestID, a.id)
	h.Set("X-Model", "m")
	h.Set(wire.DeadlineMS, strconv.FormatInt(left.Milliseconds(), 10))
	h.Set(wire.TokenCount, fmt.Sprintf("%d,%d", 800+len(p.history)/5, 40))
	h.Set(wire.Program, p.name)
	h.Set(wire.Session, p.name+"-1")
	h.Set(wire.FinishMS, "20000")
	if p.budget > 0 {
		h.Set(wire.Budget, strconv.Itoa(p.budget))
	}
	if p.previous != "" {
		h.Set(wire.Previous, p.previous)
	}
	p.record.add("client %s sends %s to %s, previous %q", p.name, a.id, entry.name(), a.previous)
	resp, err := httpClient.Do(req)
	if err != nil {
		p.record.add("client %s gets no answer to %s: %v", p.name, a.id, err)
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.status, a.whole, a.body, a.ended = resp.StatusCode, err == nil, string(b), time.Now()
	if s, err := strconv.ParseFloat(resp.Header.Get(wire.RetryAfter), 64); err == nil {
		a.retry = time.Duration(s * float64(time.Second))
	}
	note := ""
	if a.status != http.StatusOK {
		note = ": " + strings.TrimSpace(a.body)
	}
	p.record.add("client %s gets %d to %s, whole %v%s", p.name, a.status, a.id, a.whole, note)
	return a
}
