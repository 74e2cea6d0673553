// SPDX-License-Identifier: MIT

// Package endpointlist polls the platform's list of instances and endpoints, which
// may be out of date.
package endpointlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/dispatch"
	"rockbarrow.dev/rockbarrow/jsonlist"
	"rockbarrow.dev/rockbarrow/roster"
)

const (
	fetchTimeout = time.Second
	// maxListSize bounds what is kept of the response body in bytes, and maxListRead what is read.
	maxListSize, maxListRead = 4 << 20, 32 << 20
)

// The fields of the list.
const (
	instancesField = "instances"
	endpointsField = "endpoints"
)

// List is the platform's list.
type List struct {
	Instances []Entry `json:"instances"`
	Endpoints []Entry `json:"endpoints"`
}

// Entry is one entry of the list. State is "live", "leaving" or "gone".
type Entry struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Roster receives the listed states of instances.
type Roster interface {
	HandlePlatformUpdate(l roster.PlatformUpdate)
}

// Poller polls the list. Set the exported fields before calling Run.
type Poller struct {
	HTTP       *http.Client
	URL        string
	Interval   time.Duration
	Roster     Roster
	Dispatcher *dispatch.Dispatcher
	Log        *logrus.Entry

	// lastError describes the error of the last poll, "" if it had none.
	lastError string
}

// Run polls until ctx ends.
func (p *Poller) Run(ctx context.Context) { p.loop(ctx) }

func (p *Poller) loop(ctx context.Context) {
	t := time.NewTicker(p.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		list, err := p.fetch(ctx)
		p.logError(err)
		if list != nil {
			p.apply(list)
		}
	}
}

// logError logs an error if it differs from that of the last poll.
func (p *Poller) logError(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if text == p.lastError {
		return
	}
	p.lastError = text
	if err != nil {
		p.Log.WithError(err).Warn("cannot read the platform's list")
		return
	}
	p.Log.Info("the platform's list can be read again")
}

func (p *Poller) fetch(ctx context.Context) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return p.read(ctx)
}

func (p *Poller) read(ctx context.Context) (*List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, p.URL, nil)
	if err != nil {
		return nil, errors.Wrap(err, "endpointlist: create request")
	}
	resp, err := p.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "endpointlist: request")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("endpointlist: status %d", resp.StatusCode)
	}
	return Decode(resp.Body)
}

// UnreadableError reports a list of which entries could not be read.
type UnreadableError struct {
	// Entries is the number of such entries, and Reason describes the last of them, or what is wrong with the whole list.
	Entries int
	Reason  string
}

func (e *UnreadableError) Error() string {
	return fmt.Sprintf("endpointlist: %d entries can't be read: %s", e.Entries, e.Reason)
}

// Decode decodes a list. With an [UnreadableError], it returns the entries that could be read.
func Decode(r io.Reader) (*List, error) {
	text, err := jsonlist.Read(r, maxListSize, maxListRead)
	if err != nil {
		return nil, errors.Wrap(err, "endpointlist: read")
	}
	unreadable := &UnreadableError{}
	object := jsonlist.Split(text.Text, instancesField, endpointsField)
	out := &List{
		Instances: decodeEntries(object.Lists[instancesField], unreadable),
		Endpoints: decodeEntries(object.Lists[endpointsField], unreadable),
	}
	if err := json.Unmarshal([]byte(object.Frame), &List{}); err != nil {
		unreadable.Reason = err.Error()
	}
	if !text.Whole {
		unreadable.Reason = fmt.Sprintf("%d of its bytes were read, and there are more", text.Size)
	}
	if unreadable.Reason != "" {
		return out, unreadable
	}
	return out, nil
}

func decodeEntries(list *jsonlist.List, unreadable *UnreadableError) []Entry {
	if list == nil {
		return nil
	}
	var out []Entry
	for _, raw := range list.Elements {
		var e Entry
		if err := json.Unmarshal([]byte(raw), &e); err != nil {
			unreadable.Entries++
			unreadable.Reason = err.Error()
			continue
		}
		out = append(out, e)
	}
	if n := len(list.Unreadable); n > 0 {
		unreadable.Entries += n
		unreadable.Reason = "not valid JSON"
	}
	return out
}

// apply forwards the listed states. A listed endpoint that is not live takes no new
// calls; this is only reset when the endpoint restarts, never by the list.
func (p *Poller) apply(l *List) {
	var listed roster.PlatformUpdate
	for _, i := range l.Instances {
		switch i.State {
		case "gone":
			listed.Removed = append(listed.Removed, i.Name)
		case "leaving":
			listed.Leaving = append(listed.Leaving, i.Name)
		}
	}
	p.Roster.HandlePlatformUpdate(listed)
	f := p.Dispatcher.Fleet()
	if f == nil {
		return
	}
	for _, i := range l.Endpoints {
		if e := f.Endpoint(i.Name); e != nil && i.State != "live" {
			e.SetDraining(true)
		}
	}
}
