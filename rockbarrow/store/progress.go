// SPDX-License-Identifier: MIT

package store

import (
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/schema/fleetpb"
)

// copyLogInterval is the interval between lines about an attempt at a copy that goes on.
const copyLogInterval = 2 * time.Second

// maxLoggedSources bounds the sources that a line names.
const maxLoggedSources = 24

// copyProgress tells how the copy for a view goes, over all attempts.
type copyProgress struct {
	epoch uint64
	// since is when the first attempt for the view began.
	since   time.Time
	attempt int
	// sources are those of the last attempt. states holds what is known of each by storage: sourceWaiting, sourceCopied,
	// sourceIncomplete or the text of an error.
	sources []*fleetpb.Member
	states  map[uint64]string
}

const (
	sourceWaiting    = "copying"
	sourceCopied     = "copied"
	sourceIncomplete = "incomplete"
)

// begin begins an attempt.
func (p *copyProgress) begin(now time.Time, epoch uint64) {
	if p.epoch != epoch {
		*p = copyProgress{epoch: epoch, since: now}
	}
	p.attempt++
}

// await notes the sources that the attempt copies from. Those of earlier attempts whose records were copied are not among them.
func (p *copyProgress) await(sources []*fleetpb.Member) {
	p.sources, p.states = sources, map[uint64]string{}
	for _, m := range sources {
		p.states[m.GetStorage()] = sourceWaiting
	}
}

func (p *copyProgress) failed(storage uint64, err error) { p.states[storage] = err.Error() }

func (p *copyProgress) copied(storage uint64, complete bool) {
	p.states[storage] = sourceCopied
	if !complete {
		p.states[storage] = sourceIncomplete
	}
}

// fields returns the log fields about the copy: how long it has been going on, and which sources are missing and why.
func (p *copyProgress) fields(now time.Time) logrus.Fields {
	missing := []string{}
	for _, m := range p.sources {
		state := p.states[m.GetStorage()]
		if state == sourceCopied {
			continue
		}
		if len(missing) == maxLoggedSources {
			missing = append(missing, "more")
			break
		}
		missing = append(missing, m.GetInstance()+" "+withoutSource(state, m.GetInstance()))
	}
	return logrus.Fields{
		"view": p.epoch, "copying_ms": now.Sub(p.since).Milliseconds(), "attempt": p.attempt, "sources_missing": missing,
		"sources_asked": len(p.sources),
	}
}

// withoutSource returns the text of a transfer's error without the name of its source, which the field has already.
func withoutSource(text, instance string) string {
	return strings.TrimPrefix(strings.TrimPrefix(text, "store: copy from "+instance+": "), "store: "+instance+" ")
}
