// SPDX-License-Identifier: MIT

// Package backend sends each attempt through the adapter of its kind.
package backend

import (
	"context"

	"rockbarrow.dev/rockbarrow/engine"
	"rockbarrow.dev/rockbarrow/host"
	"rockbarrow.dev/rockbarrow/service"
	"rockbarrow.dev/schema/configpb"
)

// Set is the adapters of an instance.
type Set struct {
	Engine  *engine.Client
	Service *service.Client
}

func (s *Set) Call(ctx context.Context, a host.Attempt, emit func(uint64, string)) host.Result {
	if a.Endpoint.GetService() != "" {
		return s.Service.Call(ctx, a, emit)
	}
	return s.Engine.Call(ctx, a, emit)
}

func (s *Set) Release(ctx context.Context, e *configpb.Endpoint, run string) error {
	if e.GetService() != "" {
		return s.Service.Release(ctx, e, run)
	}
	return s.Engine.Release(ctx, e, run)
}
