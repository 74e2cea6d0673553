// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// resolveInterval is how often endpoints are asked, and maxResolveInterval how often one that does not show what became of it.
	resolveInterval    = 500 * time.Millisecond
	maxResolveInterval = 16 * time.Second
)

// resolver finds out what became of executions of suspects whose outcome nobody reports, as their entry instances were lost. An endpoint
// that answers with the same start time afterwards has not ended. Each control instance asks for what it knows itself: one that is cut
// off from the endpoint, or has just started, decides nothing for others.
type resolver struct {
	controller *Controller
	// asked holds the endpoints that did not show what became of them.
	asked map[incarnation.ID]resolveAttempt
}

// resolveAttempt is when an endpoint is asked again.
type resolveAttempt struct {
	due      time.Time
	interval time.Duration
}

func (r *resolver) loop(ctx context.Context) {
	for wait.For(ctx, resolveInterval) {
		r.resolve(ctx, time.Now())
	}
}

// resolve asks the endpoints of unresolved executions once, maxConcurrentProbes at a time at the most.
func (r *resolver) resolve(ctx context.Context, now time.Time) {
	c, byEndpoint := r.controller, map[incarnation.ID][]quarantine.Unresolved{}
	for _, u := range c.suspects.Unresolved(now) {
		byEndpoint[u.Endpoint] = append(byEndpoint[u.Endpoint], u)
	}
	due := r.due(now, byEndpoint)
	before := c.suspects.Sequence()
	var mu sync.Mutex
	var calls sync.WaitGroup
	for id, e := range due {
		calls.Go(func() {
			born, err := c.StartTimes.StartTime(ctx, e)
			mu.Lock()
			defer mu.Unlock()
			if err != nil || born != id.StartMS {
				c.Log.WithFields(logrus.Fields{"endpoint": id.EndpointID, "born_ms": id.StartMS, "now_born_ms": born, "executions": len(byEndpoint[id])}).
					Debug("an endpoint does not show that executions have not ended it")
				return
			}
			delete(r.asked, id)
			for _, u := range byEndpoint[id] {
				c.suspects.Resolve(now, u)
			}
			c.Log.WithFields(logrus.Fields{"endpoint": id.EndpointID, "born_ms": id.StartMS, "executions": len(byEndpoint[id])}).
				Info("an endpoint is alive after executions whose outcome was not reported")
		})
	}
	calls.Wait()
	c.notifySuspects(before)
}

// due returns the listed endpoints that are to be asked now, and notes that they are.
func (r *resolver) due(now time.Time, unresolved map[incarnation.ID][]quarantine.Unresolved) map[incarnation.ID]*fleetpb.Endpoint {
	if r.asked == nil {
		r.asked = map[incarnation.ID]resolveAttempt{}
	}
	for id := range r.asked {
		if unresolved[id] == nil {
			delete(r.asked, id)
		}
	}
	list := r.controller.watch.List()
	out := map[incarnation.ID]*fleetpb.Endpoint{}
	for id := range unresolved {
		last := r.asked[id]
		if list == nil || len(out) == maxConcurrentProbes || now.Before(last.due) {
			continue
		}
		i, ok := indexOfIncarnation(list.Version(), id)
		if !ok {
			continue
		}
		interval := min(max(2*last.interval, resolveInterval), maxResolveInterval)
		r.asked[id] = resolveAttempt{due: now.Add(interval), interval: interval}
		out[id] = list.List().GetEndpoints()[i]
	}
	return out
}
