// SPDX-License-Identifier: MIT

package confighistory

import (
	"slices"
	"sync"
	"time"
)

// Changes are the configurations that were sent: what each changed, and when it was acknowledged. Set the exported fields before the first
// call.
type Changes struct {
	// First is a path that all configurations route, with small bodies to fast endpoints.
	First string
	// Slow is how long endpoints take of behaviours that are slow.
	Slow time.Duration

	mu     sync.Mutex
	places map[string]Place
	// acknowledged is ordered by time.
	acknowledged []acknowledgement
}

type acknowledgement struct {
	version uint64
	at      time.Time
}

// Send records what a version changes, before it is sent.
func (c *Changes) Send(version uint64, changes map[string]Behaviour) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.places == nil {
		c.places = map[string]Place{}
	}
	for path, b := range changes {
		c.places[path] = append(c.places[path], Step{Version: version, Sent: time.Now(), Behaviour: b})
	}
}

// Acknowledge records that a version was acknowledged.
func (c *Changes) Acknowledge(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.acknowledged = append(c.acknowledged, acknowledgement{version: version, at: time.Now()})
}

// Place returns the behaviours of a path so far.
func (c *Changes) Place(path string) Place {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.places[path])
}

// Due returns the version that must be in force at a time: the newest that was acknowledged ApplyWithin before.
func (c *Changes) Due(at time.Time) uint64 { return c.newestBefore(at.Add(-ApplyWithin)) }

// Newest returns the newest version that was acknowledged, zero if none was.
func (c *Changes) Newest() uint64 { return c.newestBefore(time.Now()) }

func (c *Changes) newestBefore(at time.Time) (version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.acknowledged {
		if a.at.Before(at) {
			version = max(version, a.version)
		}
	}
	return version
}

// lag returns how long before a time the first version was acknowledged that answers from some intervals can't come of, zero if there
// is none.
func (c *Changes) lag(list []interval, at time.Time) (longest time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.acknowledged {
		if _, ok := firstAfter(list, a.version); !ok {
			longest = max(longest, at.Sub(a.at))
		}
	}
	return longest
}
