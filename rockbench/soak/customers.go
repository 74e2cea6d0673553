// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/platform/wire"
	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// revokeWithin is how long a key that was taken away may still let requests in.
	revokeWithin = 5 * time.Second
	// steady is how many customers run programs, each under a key that stays.
	steady = 3
	// bounded is a customer that sends far more than its quota, and passing one whose keys come and go.
	bounded, passing = "bounded", "passing"
	// boundedRate and boundedBurst are that quota, and pressEvery is how often a request of it is sent.
	boundedRate, boundedBurst = 4, 6
	pressEvery                = 15 * time.Millisecond
	// passingKeys is how many keys of the passing customer hold at a time, and tryKeysEvery how often each
	// key that ever held is tried.
	passingKeys  = 2
	tryKeysEvery = 60 * time.Millisecond
)

// quotaTerms are the terms of all quotas.
var quotaTerms = quota.Params{Window: 5 * time.Second, Overrun: 0.1, Slack: 20}

// customers are those of the configuration.
type customers struct {
	ledger *standin.Recorder
	r      *rand.Rand
	// secrets are the keys that hold, by customer.
	secrets wire.CustomerKeys

	mu sync.Mutex
	// passed are all keys that the passing customer ever had, and revoked when the loss of each was
	// acknowledged.
	passed  []string
	revoked map[string]time.Time
	// tries are requests under passing keys.
	tries []keyTry
}

// keyTry is a request under a key.
type keyTry struct {
	id, secret string
	sent       time.Time
}

func newCustomers(l *standin.Recorder, r *rand.Rand) *customers {
	c := &customers{ledger: l, r: r, secrets: wire.CustomerKeys{bounded: {"secret-" + bounded}}, revoked: map[string]time.Time{}}
	for i := range steady {
		c.secrets[steadyName(i)] = []string{"secret-" + steadyName(i)}
	}
	most := (boundedRate*quotaTerms.Window.Seconds() + boundedBurst) * (1 + quotaTerms.Overrun)
	l.SetRateLimit(bounded, standin.RateLimit{Max: int(most + quotaTerms.Slack), Window: quotaTerms.Window})
	return c
}

// held returns the keys that hold, by customer.
func (c *customers) held() wire.CustomerKeys {
	if c == nil {
		return nil
	}
	return c.secrets
}

func steadyName(i int) string { return fmt.Sprint("customer-", i%steady) }

// of returns the customer of a program and its key, "" if there are none.
func (c *customers) of(program int) (name, secret string) {
	if c == nil {
		return "", ""
	}
	name = steadyName(program)
	return name, "secret-" + name
}

// change gives the passing customer another key and takes its oldest one away, now and then all of them.
func (c *customers) change() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	secret := fmt.Sprintf("passing-%d", len(c.passed))
	c.passed = append(c.passed, secret)
	held := append(slices.Clone(c.secrets[passing]), secret)
	if c.r.IntN(5) == 0 {
		held = nil
	}
	c.secrets[passing] = held[max(0, len(held)-passingKeys):]
}

// acknowledged notes which keys were taken away by now.
func (c *customers) acknowledged(now time.Time) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, secret := range c.passed {
		if _, known := c.revoked[secret]; !known && !slices.Contains(c.secrets[passing], secret) {
			c.revoked[secret] = now
		}
	}
}

// document returns them as a configuration holds them.
func (c *customers) document() []*fleetpb.Customer {
	if c == nil {
		return nil
	}
	var out []*fleetpb.Customer
	for _, name := range []string{bounded, passing, steadyName(0), steadyName(1), steadyName(2)} {
		customer := &fleetpb.Customer{Name: name}
		for _, secret := range c.secrets[name] {
			k := routing.DigestKey(secret)
			customer.Keys = append(customer.Keys, k[:])
		}
		if name == bounded {
			customer.RequestsPerSecond, customer.Burst = boundedRate, boundedBurst
		}
		out = append(out, customer)
	}
	return out
}

// press sends requests of the bounded customer and under passing keys, until ctx ends.
func (c *customers) press(ctx context.Context, entries []string, r *rand.Rand) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * time.Second}
	ofQuota, ofKeys := rand.New(rand.NewPCG(r.Uint64(), 0)), rand.New(rand.NewPCG(r.Uint64(), 1))
	var running sync.WaitGroup
	running.Go(func() { c.pressQuota(ctx, client, entries, ofQuota) })
	running.Go(func() { c.pressKeys(ctx, client, entries, ofKeys) })
	running.Wait()
}

func (c *customers) pressQuota(ctx context.Context, client *http.Client, entries []string, r *rand.Rand) {
	slots := make(chan struct{}, 64)
	for i := 0; wait.For(ctx, pressEvery); i++ {
		entry := entries[r.IntN(len(entries))]
		select {
		case slots <- struct{}{}:
		default:
			continue
		}
		go func() {
			defer func() { <-slots }()
			status, err := standin.ProbeAs(ctx, client, c.ledger, entry, host, "/once/x", fmt.Sprintf("bounded-%d", i), bounded, "secret-"+bounded)
			if err == nil {
				c.ledger.Count(fmt.Sprint("bounded requests with status ", status))
			}
		}()
	}
}

func (c *customers) pressKeys(ctx context.Context, client *http.Client, entries []string, r *rand.Rand) {
	for i := 0; wait.For(ctx, tryKeysEvery); i++ {
		c.mu.Lock()
		recent := c.passed[max(0, len(c.passed)-4*passingKeys):]
		if len(recent) == 0 {
			c.mu.Unlock()
			continue
		}
		try := keyTry{id: fmt.Sprintf("key-%d", i), secret: recent[r.IntN(len(recent))], sent: time.Now()}
		c.tries = append(c.tries, try)
		c.mu.Unlock()
		status, err := standin.ProbeAs(ctx, client, c.ledger, entries[r.IntN(len(entries))], host, "/once/x", try.id, passing, try.secret)
		if err == nil {
			c.ledger.Count(fmt.Sprint("requests under passing keys with status ", status))
		}
	}
}

// check breaks a promise for each request that ran though it was sent when its key was gone for long.
func (c *customers) check() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, try := range c.tries {
		gone, ok := c.revoked[try.secret]
		if ok && try.sent.Sub(gone) > revokeWithin && c.ledger.HasRun(try.id) {
			c.ledger.AddViolation("request %s ran under a key %v after it was taken away", try.id, try.sent.Sub(gone))
		}
	}
}
