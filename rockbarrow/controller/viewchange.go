// SPDX-License-Identifier: MIT

package controller

import (
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/membership"
	"rockbarrow.dev/schema/fleetpb"
)

const (
	// viewChangeLogDelay is how long a view change may take without a line: several times what most take. viewChangeLogInterval is the
	// least time between two lines.
	viewChangeLogDelay    = 2 * time.Second
	viewChangeLogInterval = time.Second
	// maxLoggedMembers bounds the members that one field names.
	maxLoggedMembers = 24
)

// viewChangeLog logs why a view change does not end. The zero value is ready to use.
type viewChangeLog struct {
	// since is when this instance first saw the change in progress, zero without one. epoch is the view of the last attempt, and
	// attemptSince is when that was first seen.
	since, attemptSince time.Time
	epoch               uint64
	lastLogged          time.Time
}

// observe notes the view, and reports whether a line is due.
func (l *viewChangeLog) observe(now time.Time, v *fleetpb.View) bool {
	if len(v.GetPrior()) == 0 {
		*l = viewChangeLog{lastLogged: l.lastLogged}
		return false
	}
	if l.since.IsZero() {
		l.since = now
	}
	if l.epoch != v.GetEpoch() {
		l.epoch, l.attemptSince = v.GetEpoch(), now
	}
	return now.Sub(l.since) > viewChangeLogDelay && now.Sub(l.lastLogged) >= viewChangeLogInterval
}

// logViewChange logs why a view change that has been in progress for some time has not ended. Only the first in rank does, as it is the
// one to end it.
func (d *coordinator) logViewChange(now time.Time, first bool) {
	c := d.controller
	s := c.State()
	if due := d.viewChange.observe(now, s.GetView()); !due || !first {
		return
	}
	p := c.planner(now)
	p.StoresStable = true
	pending := p.Pending(s)
	if pending == nil {
		return
	}
	v := s.GetView()
	d.viewChange.lastLogged = now
	c.Log.WithFields(logrus.Fields{
		"view": v.GetEpoch(), "in_progress_ms": now.Sub(d.viewChange.since).Milliseconds(), "attempt_ms": now.Sub(d.viewChange.attemptSince).Milliseconds(),
		"abandoned": len(v.GetAbandoned()), "observing_ms": p.Uptime.Milliseconds(), "hears_majority": c.hearsMajority(now),
		"not_copied": memberTexts(pending.Members), "sources_silent": memberTexts(pending.Sources), "waits_for": pending.Reasons,
	}).Warn("a view change has not ended")
}

// memberTexts returns what is known of members, one text each.
func memberTexts(list []membership.PendingMember) []string {
	out := make([]string, 0, len(list))
	for i, m := range list {
		if i == maxLoggedMembers {
			return append(out, fmt.Sprintf("%d more", len(list)-i))
		}
		text := fmt.Sprintf("%s %s, copied view %d", m.Instance, m.State, m.CopiedEpoch)
		if m.Silence > 0 {
			text += fmt.Sprintf(", silent %d ms", m.Silence.Milliseconds())
		}
		if m.MustCopy {
			text += ", must copy"
		}
		out = append(out, text)
	}
	return out
}
