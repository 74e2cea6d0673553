// SPDX-License-Identifier: MIT

// Package endpointlist polls the platform's list of instances and endpoints, which
// may be out of date.
package endpointlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/dispatch"
	"rockbarrow.dev/rockbarrow/roster"
)

const (
	fetchTimeout = time.Second
	// maxListSize bounds the response body in bytes.
	maxListSize = 4 << 20
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
		if err != nil {
			p.Log.WithError(err).Debug("cannot read the platform's list")
			continue
		}
		p.apply(list)
	}
}

func (p *Poller) fetch(ctx context.Context) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
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
	return Decode(io.LimitReader(resp.Body, maxListSize))
}

// Decode decodes a list.
func Decode(r io.Reader) (*List, error) {
	var l List
	if err := json.NewDecoder(r).Decode(&l); err != nil {
		return nil, errors.Wrap(err, "endpointlist: decode")
	}
	return &l, nil
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
