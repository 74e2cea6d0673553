// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/platform/standin"
)

// addEndpoint starts another endpoint.
func (f *fleet) addEndpoint(service, domain string) (*standin.Endpoint, error) {
	f.mu.Lock()
	f.lives++
	id := fmt.Sprintf("%s-%d", service, f.lives)
	f.mu.Unlock()
	e := f.newEndpoint(id, service, domain)
	return e, f.startEndpoint(e, anyPort)
}

// anyPort is where endpoints start for the first time.
const anyPort = "127.0.0.1:0"

func (f *fleet) newEndpoint(id, service, domain string) *standin.Endpoint {
	return &standin.Endpoint{
		ID: id, Service: service, Domain: domain, Slots: 64,
		ServiceTime: 4 * time.Millisecond, Stream: service == "model", Recorder: f.ledger, OnCrash: f.crash,
	}
}

// startEndpoint starts an endpoint, whose id is new or was given up, and puts it in the list.
func (f *fleet) startEndpoint(e *standin.Endpoint, address string) error {
	if err := e.Start(address); err != nil {
		return errors.Wrap(err, "soak: endpoint")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = append(f.endpoints, e)
	f.publish()
	return nil
}

// endpoint draws one that stays, if there is any.
func (f *fleet) endpoint(r *rand.Rand) *standin.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := slices.DeleteFunc(slices.Clone(f.endpoints), func(e *standin.Endpoint) bool { return f.phases[e] != phaseStaying })
	if len(list) == 0 {
		list = f.endpoints
	}
	return list[r.IntN(len(list))]
}

// removeEndpoint takes one off the list.
func (f *fleet) removeEndpoint(old *standin.Endpoint) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endpoints = slices.DeleteFunc(slices.Clone(f.endpoints), func(e *standin.Endpoint) bool { return e == old })
	f.publish()
}

// startFresh starts an endpoint that no fault has.
func (f *fleet) startFresh(e *standin.Endpoint) error {
	if err := e.Start(anyPort); err != nil {
		return errors.Wrap(err, "soak: endpoint")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh = append(f.fresh, e)
	f.publish()
	return nil
}

// isHalfFull reports whether half of the places of a service's endpoints are taken, or more.
func (f *fleet) isHalfFull(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken, places := 0, 0
	for _, e := range f.endpoints {
		if e.Service == service {
			taken, places = taken+e.InFlight(), places+e.Slots
		}
	}
	return 2*taken >= places
}

// publish puts all endpoints in the list. The caller holds mu.
func (f *fleet) publish() { f.list.Set(append(slices.Clone(f.endpoints), f.fresh...)...) }
