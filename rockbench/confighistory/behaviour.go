// SPDX-License-Identifier: MIT

package confighistory

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// Behaviour is what a version of the configuration says of a path. The zero value is that it is not routed.
type Behaviour struct {
	// Services are those that requests may go to.
	Services []string
	// Takes is how long their endpoints take, zero for no time, and Limit the time limit.
	Takes, Limit time.Duration
	// Tight is true if requests have bodies larger than the limit.
	Tight bool
	// Contested is true if one of two configurations of the version has the path, and the other has not.
	Contested bool
}

// IsSlow reports whether requests take long, and IsLimited whether they take longer than their time limit.
func (b Behaviour) IsSlow() bool    { return b.Takes > 0 }
func (b Behaviour) IsLimited() bool { return b.Takes > b.Limit }

// IsPlain reports whether requests are answered at once whenever an endpoint is there.
func (b Behaviour) IsPlain() bool {
	return len(b.Services) > 0 && !b.IsSlow() && !b.Contested && !b.Tight
}

// Allows reports whether a response that tells something may come of this behaviour.
func (b Behaviour) Allows(r Response) bool {
	routed := len(b.Services) > 0
	switch r.Status {
	case http.StatusNotFound:
		return !routed || b.Contested
	case http.StatusRequestEntityTooLarge:
		return routed && b.Tight
	case http.StatusGatewayTimeout:
		// Only endpoints that take long take longer than a time limit.
		return routed && (b.IsLimited() || !b.IsSlow())
	}
	return routed && !b.IsLimited() && !b.Tight && slices.Contains(b.Services, r.Service)
}

// Response is the response to a request; the status is zero if there was none.
type Response struct {
	Status int
	// Service is the one that answered, if the status is 200.
	Service string
	Took    time.Duration
}

// Tells reports whether a response tells anything of the version in force, given how long slow endpoints take: others are due to faults.
func (r Response) Tells(slow time.Duration) bool {
	switch r.Status {
	case http.StatusOK, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return true
	case http.StatusGatewayTimeout:
		return r.Took < slow
	}
	return false
}

// Step is the behaviour of a path from a version on, which was sent at a time.
type Step struct {
	Version uint64
	Sent    time.Time
	Behaviour
}

// String describes the step.
func (s Step) String() string {
	to := strings.Join(s.Services, "+")
	if len(s.Services) == 0 {
		to = "nothing"
	}
	if s.Tight {
		to += " tight"
	}
	if s.Contested {
		to += " contested"
	}
	if s.IsLimited() {
		to += " limited"
	}
	return fmt.Sprintf("%d %s", s.Version, to)
}

// Place is a path with its behaviours, in the order of their versions.
type Place []Step

// Last returns the newest behaviour.
func (p Place) Last() Step { return p[len(p)-1] }

// before returns the steps that were sent before a time.
func (p Place) before(at time.Time) Place {
	i := slices.IndexFunc(p, func(s Step) bool { return s.Sent.After(at) })
	if i < 0 {
		return p
	}
	return p[:i]
}

// matches returns the steps that a response may come of.
func (p Place) matches(r Response) []interval {
	var out []interval
	if (Behaviour{}).Allows(r) && p[0].Version > 0 {
		out = append(out, interval{to: p[0].Version})
	}
	for i, s := range p {
		if !s.Allows(r) {
			continue
		}
		in := interval{from: s.Version, to: ^uint64(0)}
		if i+1 < len(p) {
			in.to = p[i+1].Version
		}
		out = append(out, in)
	}
	return out
}

// interval is a range of versions, without to.
type interval struct{ from, to uint64 }

// firstAfter returns the lowest version of some intervals from which one may be in force that is at least the given one.
func firstAfter(list []interval, version uint64) (from uint64, ok bool) {
	for _, in := range list {
		if in.to > version {
			return max(in.from, version), true
		}
	}
	return 0, false
}
