// SPDX-License-Identifier: MIT

// Package endpointlist reads the own interface's lagging list of live and leaving
// instances and endpoints.
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
	pollTimeout = time.Second
	// maxList bounds the list's body.
	maxList = 4 << 20
)

// List is the platform's list.
type List struct {
	Instances []Entry `json:"instances"`
	Endpoints []Entry `json:"endpoints"`
}

// Entry is one line of the list; State is "live", "leaving" or "gone".
type Entry struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

// Roster takes the platform's word on instances.
type Roster interface {
	Listed(l roster.Listed)
}

// Poller polls the list. Set the exported fields before Run.
type Poller struct {
	HTTP     *http.Client
	URL      string
	Interval time.Duration
	Roster   Roster
	Desk     *dispatch.Dispatcher
	Log      *logrus.Entry
}

// Run polls until ctx ends.
func (w *Poller) Run(ctx context.Context) { w.loop(ctx) }

func (w *Poller) loop(ctx context.Context) {
	t := time.NewTicker(w.Interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		list, err := w.read(ctx)
		if err != nil {
			w.Log.WithError(err).Debug("the platform's list cannot be read")
			continue
		}
		w.tell(list)
	}
}

func (w *Poller) read(ctx context.Context) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, w.URL, nil)
	if err != nil {
		return nil, errors.Wrap(err, "platform: list")
	}
	resp, err := w.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "platform: list")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Errorf("platform: list: status %d", resp.StatusCode)
	}
	return Decode(io.LimitReader(resp.Body, maxList))
}

// Decode reads a list.
func Decode(r io.Reader) (*List, error) {
	var l List
	if err := json.NewDecoder(r).Decode(&l); err != nil {
		return nil, errors.Wrap(err, "platform: list")
	}
	return &l, nil
}

// tell passes the word on. An endpoint that is listed as leaving takes nothing
// new from now on; only its next life clears that, so the list never does.
func (w *Poller) tell(l *List) {
	var listed roster.Listed
	for _, i := range l.Instances {
		switch i.State {
		case "gone":
			listed.Gone = append(listed.Gone, i.Name)
		case "leaving":
			listed.Leaving = append(listed.Leaving, i.Name)
		}
	}
	w.Roster.Listed(listed)
	f := w.Desk.Fleet()
	if f == nil {
		return
	}
	for _, i := range l.Endpoints {
		if e := f.Endpoint(i.Name); e != nil && i.State != "live" {
			e.SetDraining(true)
		}
	}
}
