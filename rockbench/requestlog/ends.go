// SPDX-License-Identifier: MIT

package requestlog

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
)

// endpointEnded is the message about an endpoint that ended.
const endpointEnded = "an endpoint has ended with requests in progress"

// Execution is a request at one endpoint, as its instance logged it.
type Execution struct {
	Endpoint string `json:"endpoint"`
	BornMS   uint64 `json:"born_ms"`
	Result   string `json:"result"`
	Ended    bool   `json:"ended"`
	// Granted is true if a control instance granted it, and KnownEnds is how many ends its instance knew of.
	Granted   bool `json:"granted"`
	KnownEnds int  `json:"known_ends"`
}

// Ends connects endpoints that ended with the requests that were in progress there, over all attempts and instances. The zero
// value is ready.
type Ends struct {
	byKey map[string]*endsOfRequest
	// endpoints counts by endpoint how many requests were in progress when it ended.
	endpoints map[string]int
}

// endsOfRequest is one request over all its attempts.
type endsOfRequest struct {
	program, route      string
	attempts, instances map[string]bool
	// sent counts its executions, and most those of one attempt.
	sent, most int
	// granted are those that a control instance granted, and unaware those at instances that knew of no end. mostKnown is the
	// largest number of ends that an instance knew of when it sent the request.
	granted, unaware, mostKnown int
	// ended are the incarnations that ended under it, and again is true if two of them have one id.
	ended map[string]bool
	again bool
	// lastStatus is that of the last attempt.
	lastStatus int
}

// AddEvent takes an end of an endpoint, and ignores other events.
func (t *Ends) AddEvent(e Event) {
	if e.Message != endpointEnded {
		return
	}
	if t.endpoints == nil {
		t.endpoints = map[string]int{}
	}
	t.endpoints[fmt.Sprint(e.Endpoint, " ", e.BornMS)] += e.InProgress
	for _, k := range e.Keys {
		t.of(k).addEnd(e.Endpoint, e.BornMS)
	}
}

// Add takes an ended request.
func (t *Ends) Add(l Line) {
	if l.Key == "" {
		return
	}
	r := t.of(l.Key)
	r.program, r.route, r.lastStatus = l.Program, l.Route, l.Status
	r.attempts[l.Request], r.instances[l.Instance] = true, true
	r.sent += len(l.Executions)
	r.most = max(r.most, len(l.Executions))
	for _, x := range l.Executions {
		if x.Granted {
			r.granted++
		}
		if x.KnownEnds == 0 {
			r.unaware++
		}
		r.mostKnown = max(r.mostKnown, x.KnownEnds)
		if x.Ended {
			r.addEnd(x.Endpoint, x.BornMS)
		}
	}
}

func (t *Ends) of(key string) *endsOfRequest {
	if t.byKey == nil {
		t.byKey = map[string]*endsOfRequest{}
	}
	r := t.byKey[key]
	if r == nil {
		r = &endsOfRequest{attempts: map[string]bool{}, instances: map[string]bool{}, ended: map[string]bool{}}
		t.byKey[key] = r
	}
	return r
}

func (r *endsOfRequest) addEnd(endpoint string, bornMS uint64) {
	for known := range r.ended {
		var id string
		var born uint64
		if n, err := fmt.Sscan(known, &id, &born); err == nil && n == 2 && id == endpoint {
			r.again = r.again || born != bornMS
		}
	}
	r.ended[fmt.Sprint(endpoint, " ", bornMS)] = true
}

// maxRows bounds the requests that are printed.
const maxRows = 40

// Write prints a row for each request under which two endpoints or more ended, those with most first.
func (t *Ends) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "ended\tsent\tgranted\tsent unaware\tmost known\tattempts\tinstances\tmost in one attempt\tsame id again\tlast status\tprogram\troute\tkey")
	keys := slices.SortedFunc(maps.Keys(t.byKey), func(a, b string) int {
		return cmp.Or(cmp.Compare(len(t.byKey[b].ended), len(t.byKey[a].ended)), cmp.Compare(a, b))
	})
	byCount := map[int]int{}
	for n, k := range keys {
		r := t.byKey[k]
		byCount[len(r.ended)]++
		if len(r.ended) > 1 && n < maxRows {
			fmt.Fprintf(out, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%d\t%s\t%s\t%s\n", len(r.ended), r.sent, r.granted, r.unaware, r.mostKnown, len(r.attempts), len(r.instances), r.most, r.again, r.lastStatus, r.program, r.route, k)
		}
	}
	if err := out.Flush(); err != nil {
		return err
	}
	_, err := fmt.Fprintf(w, "%d endpoints ended with requests in progress; requests by ended endpoints: %v\n", len(t.endpoints), byCount)
	return err
}
