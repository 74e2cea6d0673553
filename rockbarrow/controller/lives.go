// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/life"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/schema/fleetpb"
)

// Reports asks endpoints what they tell of themselves.
type Reports interface {
	// Born returns when an endpoint started, in milliseconds since 1970 by its own clock, 0 if it does not tell it.
	// An error says that it gave no answer.
	Born(ctx context.Context, e *fleetpb.Endpoint) (uint64, error)
}

const (
	// askPause lies between two questions to one endpoint. Each has a price. The pause doubles up to mostPause with
	// each answer that tells nothing new, since an endpoint that loses answers one by one, or closes connections at
	// rest sooner than it says, is doubtful for ever; a start then goes unnoticed for as long at the most. It begins
	// anew with a new start, and once nothing was asked for calmAfter.
	askPause  = time.Second
	mostPause = 16 * time.Second
	calmAfter = 2 * mostPause
	// askTick is how often questions are looked for, and what was answered told on: together, since each
	// new list goes to all instances.
	askTick = 100 * time.Millisecond
	// tellEvery is how often answers are told while more are to come: after a start all endpoints are asked.
	tellEvery = time.Second
	// mostAsked bounds the questions under way; each takes some 10 ms.
	mostAsked = 8
	// silentMake is how many endpoints of a service answer in a row without telling their start until the others are taken
	// for the same make, and are asked only once they are doubtful.
	silentMake = 16
)

// lives finds out which life of each endpoint is the present one, and tells it with the list. An endpoint is
// asked when it is new and when an instance tells that calls or connections to it were lost. Only the first in rank
// asks; the others know the answers from its lists.
type lives struct {
	controller *Controller

	mu sync.Mutex
	// present holds what was told; what a list that lags tells is among it.
	present   life.Lives
	questions map[string]*question
	// asked counts the questions under way.
	asked int
	// answered is true if something was answered that no list tells yet, and told is when answers were told last.
	answered bool
	told     time.Time
	// more is true while more questions are due than are asked at once.
	more bool
	// untold is true once an endpoint was met that tells no start, and silent counts by service those that were met in a row.
	untold bool
	silent map[string]int
}

// question is what is asked of one endpoint of the list.
type question struct {
	endpoint *fleetpb.Endpoint
	// due is when to ask, zero if nothing is doubtful.
	due time.Time
	// last is when it was asked last, and pause what has to pass before it is asked again.
	last  time.Time
	pause time.Duration
	// atSight is true if it is due only because nobody has asked the endpoint yet.
	atSight bool
	// underway is true while it is asked.
	underway bool
	// untold is true once it has answered without telling its start: it is not asked again.
	untold bool
}

// name puts the present lives into a reading of the list. What the known list tells came from another
// instance, perhaps.
func (l *lives) name(now time.Time, known *fleetpb.EndpointList, reading []*fleetpb.Endpoint) []*fleetpb.Endpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	told := map[string]bool{}
	for _, e := range known.GetEndpoints() {
		l.present.Take(now, lifeOf(e))
		told[e.GetId()] = e.GetBornMs() != 0
	}
	before := l.questions
	l.questions = make(map[string]*question, len(reading))
	out := make([]*fleetpb.Endpoint, 0, len(reading))
	for _, read := range reading {
		present, _ := l.present.Take(now, life.Life{ID: read.GetId()})
		e := read
		if e.GetBornMs() != present.BornMS {
			e = proto.CloneOf(read)
			e.BornMs = present.BornMS
		}
		out = append(out, e)
		q := before[e.GetId()]
		if q == nil {
			q = newQuestion(now, e, told[e.GetId()])
		} else {
			q.read(now, e)
		}
		l.questions[e.GetId()] = q
	}
	l.present.Forget(now)
	l.answered = false
	return out
}

// newQuestion is that of an endpoint that no reading of this instance has named before. Another instance has asked it
// if the known list tells its life; what is remembered of one that has come back does not count.
func newQuestion(now time.Time, e *fleetpb.Endpoint, told bool) *question {
	q := &question{endpoint: e, pause: askPause}
	if !told {
		q.due, q.atSight = now, true
	}
	return q
}

// read takes what another reading tells of the endpoint.
func (q *question) read(now time.Time, e *fleetpb.Endpoint) {
	moved := q.endpoint.GetAddress() != e.GetAddress()
	returned := q.endpoint.GetDraining() && !e.GetDraining()
	q.endpoint = e
	if moved || returned {
		q.due, q.untold, q.atSight = now, false, false
	}
}

// suspect takes what an entry instance tells of endpoints: those whose calls or connections were lost may have started
// again. What it tells of an older life is late.
func (l *lives) suspect(now time.Time, uses []*fleetpb.EndpointUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, u := range uses {
		q := l.questions[u.GetEndpoint()]
		if u.GetLost() == 0 || q == nil || q.untold || !q.due.IsZero() && !q.atSight {
			continue
		}
		present, _ := l.present.Take(now, life.Life{ID: u.GetEndpoint()})
		if !present.Same(life.Life{ID: u.GetEndpoint(), BornMS: u.GetBornMs()}) {
			continue
		}
		q.due, q.atSight = later(now, q.last.Add(q.pause)), false
	}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func lifeOf(e *fleetpb.Endpoint) life.Life { return life.Life{ID: e.GetId(), BornMS: e.GetBornMs()} }

// loop asks what is due and tells what was answered, until ctx ends.
func (l *lives) loop(ctx context.Context) {
	for wait.For(ctx, askTick) {
		now := time.Now()
		if l.hasAnswers(now) {
			l.controller.nameAgain()
		}
		if l.controller.rank(now) != 0 {
			continue
		}
		for _, q := range l.take(now) {
			go l.runQuestion(ctx, q)
		}
	}
}

// hasAnswers reports whether there is something to hasAnswers, once.
func (l *lives) hasAnswers(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.answered || l.more && now.Sub(l.told) < tellEvery {
		return false
	}
	l.answered, l.told = false, now
	return true
}

// take returns the questions to ask now.
func (l *lives) take(now time.Time) []*question {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*question
	l.more = false
	for _, q := range l.questions {
		if q.underway || q.due.IsZero() || now.Before(q.due) || q.atSight && l.silent[q.endpoint.GetService()] >= silentMake {
			continue
		}
		if l.asked == mostAsked {
			l.more = true
			break
		}
		if now.Sub(q.last) > calmAfter {
			q.pause = askPause
		}
		q.underway, q.atSight, q.due, q.last = true, false, time.Time{}, now
		l.asked++
		out = append(out, q)
	}
	return out
}

// runQuestion asks one endpoint.
func (l *lives) runQuestion(ctx context.Context, q *question) {
	l.mu.Lock()
	e := q.endpoint
	l.mu.Unlock()
	born, err := l.controller.Reports.Born(ctx, e)
	l.answer(time.Now(), q, e, born, err)
}

// answer takes the answer to a question that an endpoint was asked, at the address that it had then.
func (l *lives) answer(now time.Time, q *question, e *fleetpb.Endpoint, born uint64, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.asked--
	q.underway = false
	log := l.controller.Log.WithFields(logrus.Fields{"endpoint": e.GetId(), "address": e.GetAddress()})
	switch {
	case q.endpoint.GetAddress() != e.GetAddress():
		// It has moved meanwhile, and is asked there.
	case err != nil:
		log.WithError(err).Debug("an endpoint does not answer when it started")
		q.due = now.Add(askPause)
	case born == 0:
		q.untold = true
		if l.silent == nil {
			l.silent = map[string]int{}
		}
		l.silent[e.GetService()]++
		l.goByID(log)
	case l.receive(now, log, e.GetService(), life.Life{ID: e.GetId(), BornMS: born}):
		q.pause = askPause
	default:
		q.pause = min(2*q.pause, mostPause)
	}
}

// receive takes what an endpoint has told, and reports whether that is news.
func (l *lives) receive(now time.Time, log *logrus.Entry, service string, told life.Life) bool {
	delete(l.silent, service)
	before, _ := l.present.Take(now, life.Life{ID: told.ID})
	present, began := l.present.Take(now, told)
	if present == before {
		return false
	}
	l.answered = true
	log = log.WithField("born_ms", present.BornMS)
	if began {
		log.WithField("before_born_ms", before.BornMS).Info("an endpoint has started again under its id")
	} else {
		log.Debug("an endpoint tells when it started")
	}
	return true
}

// goByID logs that an endpoint tells no start: the first one so that it is seen, as all may be of the same make.
func (l *lives) goByID(log *logrus.Entry) {
	level := logrus.DebugLevel
	if !l.untold {
		level = logrus.InfoLevel
	}
	l.untold = true
	log.Log(level, "an endpoint does not tell when it started: it goes by its id alone")
}

// nameAgain offers the known list with the present lives.
func (c *Controller) nameAgain() {
	c.listing.Lock()
	defer c.listing.Unlock()
	known := c.watch.List()
	if known == nil {
		return
	}
	named := &fleetpb.EndpointList{
		Endpoints: c.lives.name(time.Now(), known.List(), known.List().GetEndpoints()), Calls: known.List().GetCalls(),
	}
	c.offerList(c.numberList(known.Version(), named), known.ConfirmedAt())
}
