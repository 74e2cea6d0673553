// SPDX-License-Identifier: MIT

package controller

import (
	"math"
	"slices"
	"sync"
	"time"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/incarnation"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// reportTimeout is how long the calls in a report count as running, unless a newer report
	// replaces it. It spans four reports.
	reportTimeout = 1500 * time.Millisecond
	// outcomeHalfLife is the half-life of call outcomes. A failing endpoint is tried again after a
	// few half-lives.
	outcomeHalfLife = 2 * time.Second
	// failureSmoothing is added to the number of calls when the share of failures is calculated, so
	// that a few failures alone do not dominate.
	failureSmoothing = 3
	// minFailureWeight is the weight of failed calls below which the share of failures rounds to
	// zero.
	minFailureWeight = 0.01 * failureSmoothing
	// minOutcomeWeight is the weight below which an endpoint's outcomes are dropped.
	minOutcomeWeight = 0.01
	// minTokens is the decayed number of tokens from which an endpoint's decoding time is known,
	// about one answer.
	minTokens = 50
	// tokenSampleTTL is how long after its last sample an endpoint's decoding time is reported.
	// Entry instances keep it, and let it fade after three more seconds.
	tokenSampleTTL = outcomeHalfLife
)

// loads aggregates the reports of entry instances about endpoints, both received directly and
// relayed by other control instances. The zero value is ready to use.
type loads struct {
	mu sync.Mutex
	// reporters maps the names of entry instances, and of control instances with the sums of their
	// followers, to their last reports.
	reporters map[string]*report
	// running is the number of running calls per endpoint, summed over all reporters.
	running  map[incarnation.ID]uint32
	outcomes map[incarnation.ID]*outcomes
}

// report is the last report of one instance.
type report struct {
	received time.Time
	running  map[incarnation.ID]uint32
	// relayed is set for an entry instance that reports to no other control instance, so that this
	// one relays its report.
	relayed bool
}

// outcomes counts successful and failed calls at one endpoint, with exponential decay.
type outcomes struct {
	answered, failed float64
	// tokens were decoded within micros microseconds.
	tokens, micros float64
	// updatedAt is when the counts decayed last, sampledAt when tokens were last added.
	updatedAt, sampledAt time.Time
}

// record records a report of an entry instance. Set relay if the instance reports to no other
// control instance.
func (l *loads) record(now time.Time, entry string, uses []*fleetpb.EndpointUse, relay bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaceReport(now, entry, uses, relay)
	l.addOutcomes(now, uses)
}

// recordRelayed records the running and ended calls of the followers of another control instance.
func (l *loads) recordRelayed(now time.Time, control string, running, ended []*fleetpb.EndpointUse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replaceReport(now, control, running, false)
	l.addOutcomes(now, ended)
}

// replaceReport replaces an instance's running calls; the caller holds mu.
func (l *loads) replaceReport(now time.Time, reporter string, uses []*fleetpb.EndpointUse, relayed bool) {
	if l.reporters == nil {
		l.reporters, l.running, l.outcomes = map[string]*report{}, map[incarnation.ID]uint32{}, map[incarnation.ID]*outcomes{}
	}
	l.removeReport(reporter)
	r := &report{received: now, running: map[incarnation.ID]uint32{}, relayed: relayed}
	l.reporters[reporter] = r
	for _, u := range uses {
		if n := u.GetRunning(); n > 0 {
			key := incarnationOfUse(u)
			r.running[key] += n
			l.running[key] += n
		}
	}
}

func incarnationOfUse(u *fleetpb.EndpointUse) incarnation.ID {
	return incarnation.ID{EndpointID: u.GetEndpoint(), StartMS: u.GetBornMs()}
}

// relayedRunning returns the running calls of the followers whose reports this instance relays.
func (l *loads) relayedRunning() []*fleetpb.EndpointUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	sums := map[incarnation.ID]uint32{}
	for _, r := range l.reporters {
		if r.relayed {
			for key, n := range r.running {
				sums[key] += n
			}
		}
	}
	out := make([]*fleetpb.EndpointUse, 0, len(sums))
	for key, n := range sums {
		out = append(out, &fleetpb.EndpointUse{Endpoint: key.EndpointID, BornMs: key.StartMS, Running: n})
	}
	return out
}

// removeReport removes an instance's running calls from the sums; the caller holds mu.
func (l *loads) removeReport(reporter string) {
	r := l.reporters[reporter]
	if r == nil {
		return
	}
	for endpoint, n := range r.running {
		l.running[endpoint] -= n
		if l.running[endpoint] == 0 {
			delete(l.running, endpoint)
		}
	}
	delete(l.reporters, reporter)
}

// addOutcomes counts ended calls; the caller holds mu.
func (l *loads) addOutcomes(now time.Time, uses []*fleetpb.EndpointUse) {
	for _, u := range uses {
		if u.GetAnswered() == 0 && u.GetFailed() == 0 && u.GetDecodedTokens() == 0 && u.GetDecodeUs() == 0 {
			continue
		}
		key := incarnationOfUse(u)
		o := l.outcomes[key]
		if o == nil {
			o = &outcomes{updatedAt: now}
			l.outcomes[key] = o
		}
		o.decay(now)
		o.answered += float64(u.GetAnswered())
		o.failed += float64(u.GetFailed())
		// Tokens and their time may be in successive reports, as an entry instance does not read both at once.
		o.tokens += float64(u.GetDecodedTokens())
		o.micros += float64(u.GetDecodeUs())
		if u.GetDecodedTokens() > 0 {
			o.sampledAt = now
		}
	}
}

func (o *outcomes) decay(now time.Time) {
	weight := math.Exp2(-now.Sub(o.updatedAt).Seconds() / outcomeHalfLife.Seconds())
	o.answered *= weight
	o.failed *= weight
	o.tokens *= weight
	o.micros *= weight
	o.updatedAt = now
}

// tokenMicros returns the decoding time per token in microseconds, zero if it is not known or if
// there was no sample lately.
func (o outcomes) tokenMicros(now time.Time) uint32 {
	if o.tokens < minTokens || now.Sub(o.sampledAt) > tokenSampleTTL {
		return 0
	}
	return uint32(math.Round(o.micros / o.tokens))
}

// isSignificant reports whether o, which may be nil, affects a load.
func (o *outcomes) isSignificant() bool {
	return o != nil && (o.failed >= minFailureWeight || o.tokens >= minTokens)
}

// load returns k with the outcomes added.
func (o *outcomes) load(now time.Time, k endpointLoad) endpointLoad {
	if o.isSignificant() {
		o.decay(now)
		k.answered, k.failed, k.tokenUS = o.answered, o.failed, o.tokenMicros(now)
	}
	return k
}

// expire drops instances that have stopped reporting and outcomes of negligible weight.
func (l *loads) expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, r := range l.reporters {
		if now.Sub(r.received) > reportTimeout {
			l.removeReport(name)
		}
	}
	for endpoint, o := range l.outcomes {
		o.decay(now)
		if o.answered+o.failed+o.tokens < minOutcomeWeight {
			delete(l.outcomes, endpoint)
		}
	}
}

// endpointLoad is the load of one endpoint, identified by its index in a list.
type endpointLoad struct {
	index            int
	running, tokenUS uint32
	// answered and failed are decayed numbers of ended calls.
	answered, failed float64
}

// failurePercent returns the weighted share of failed calls in percent.
func (k endpointLoad) failurePercent() uint32 {
	return failurePercent(k.answered, k.failed)
}

func failurePercent(answered, failed float64) uint32 {
	return uint32(100 * failed / (answered + failed + failureSmoothing))
}

// forEntry returns the loads of the endpoints in a list for an entry instance, without its own
// running calls. A sparse result omits endpoints with neither running nor failed calls nor a known
// decoding time.
func (l *loads) forEntry(now time.Time, entry string, list *catalog.List, sparse bool) *fleetpb.EndpointLoads {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.collect(now, entry, list)
	out := &fleetpb.EndpointLoads{ListNumber: list.Number(), Sparse: sparse}
	if !sparse {
		n := len(list.Proto().GetEndpoints())
		out.Running, out.Failing, out.TokenUs = make([]uint32, n), make([]uint32, n), make([]uint32, n)
		for _, k := range known {
			out.Running[k.index], out.Failing[k.index], out.TokenUs[k.index] = k.running, k.failurePercent(), k.tokenUS
		}
		return out
	}
	for _, k := range known {
		if failing := k.failurePercent(); k.running > 0 || failing > 0 || k.tokenUS > 0 {
			out.Index = append(out.Index, uint32(k.index))
			out.Running = append(out.Running, k.running)
			out.Failing = append(out.Failing, failing)
			out.TokenUs = append(out.TokenUs, k.tokenUS)
		}
	}
	return out
}

// collect returns the loads of the endpoints in a list in ascending order of index; the caller
// holds mu. Its cost depends on the number of endpoints with running or recently ended calls, not
// on the length of the list.
func (l *loads) collect(now time.Time, entry string, list *catalog.List) []endpointLoad {
	var own map[incarnation.ID]uint32
	if r := l.reporters[entry]; r != nil {
		own = r.running
	}
	out := make([]endpointLoad, 0, len(l.running))
	for key, n := range l.running {
		if i, ok := indexOfIncarnation(list, key); ok {
			out = append(out, l.outcomes[key].load(now, endpointLoad{index: i, running: n - own[key]}))
		}
	}
	for key, o := range l.outcomes {
		if _, included := l.running[key]; included || !o.isSignificant() {
			continue
		}
		if i, ok := indexOfIncarnation(list, key); ok {
			out = append(out, o.load(now, endpointLoad{index: i}))
		}
	}
	slices.SortFunc(out, func(a, b endpointLoad) int { return a.index - b.index })
	return mergeSorted(out)
}

// mergeSorted merges entries with the same index in place.
func mergeSorted(sorted []endpointLoad) []endpointLoad {
	n := 0
	for _, k := range sorted {
		if n > 0 && sorted[n-1].index == k.index {
			last := &sorted[n-1]
			last.running += k.running
			last.answered += k.answered
			last.failed += k.failed
			last.tokenUS = max(last.tokenUS, k.tokenUS)
			continue
		}
		sorted[n] = k
		n++
	}
	return sorted[:n]
}

// indexOfIncarnation returns the index of an endpoint in a list. An incarnation with a known start
// time must match the list; otherwise the id alone decides.
func indexOfIncarnation(list *catalog.List, key incarnation.ID) (int, bool) {
	i, ok := list.Index(key.EndpointID)
	if !ok {
		return 0, false
	}
	born := list.Proto().GetEndpoints()[i].GetBornMs()
	return i, key.StartMS == 0 || key.StartMS == born
}
