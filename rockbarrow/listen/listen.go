// SPDX-License-Identifier: MIT

// Package listen keeps an address served for as long as its process runs.
//
// An address may be held by the process before, which still finishes its requests, and
// accepting may fail for a reason that passes. Neither is a reason to end: an [Address] waits
// until it is free, and listens again.
package listen

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"rockbarrow.dev/rockbarrow/wait"
)

const (
	// retryEvery is how often an address that is held is tried: often enough that a process
	// which follows another is not noticeably later for it.
	retryEvery = 100 * time.Millisecond
	// tellEvery is how often it is logged that an address is still held.
	tellEvery = 5 * time.Second
)

// Address is one address that a process serves. Set the exported fields before the first call.
type Address struct {
	// Name says in logs what is served, Address where.
	Name, Address string
	Log           *logrus.Entry
}

// Listen returns a listener as soon as the address can be had. Its error is that of ctx.
func (a *Address) Listen(ctx context.Context) (net.Listener, error) {
	var told time.Time
	for {
		l, err := net.Listen("tcp", a.Address)
		if err == nil {
			return l, nil
		}
		if time.Since(told) > tellEvery {
			told = time.Now()
			a.Log.WithError(err).WithField("what", a.Name).Warn("an address can't be had yet")
		}
		if !wait.For(ctx, retryEvery) {
			return nil, errors.Wrapf(ctx.Err(), "listen: %s", a.Name)
		}
	}
}

// Serve calls serve with the listener, and again with another one whenever it fails. It returns
// once serve was stopped or ctx has ended.
func (a *Address) Serve(ctx context.Context, l net.Listener, serve func(net.Listener) error) {
	for {
		err := serve(l)
		if err == nil || errors.Is(err, http.ErrServerClosed) || errors.Is(err, grpc.ErrServerStopped) || ctx.Err() != nil {
			return
		}
		a.Log.WithError(err).WithField("what", a.Name).Error("an address is not served and is listened at again")
		if !wait.For(ctx, retryEvery) {
			return
		}
		if l, err = a.Listen(ctx); err != nil {
			return
		}
	}
}
