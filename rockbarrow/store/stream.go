// SPDX-License-Identifier: MIT

package store

import (
	"context"
	"io"
	"sync"

	"rockbarrow.dev/schema/fleetpb"
)

const (
	// streamWorkers is the number of goroutines of a stream that are kept for further
	// calls, which avoids growing a stack for each.
	streamWorkers = 2
	// maxStreamCalls limits the calls of a stream that are handled at a time. Further
	// ones are not received until others end.
	maxStreamCalls = 256
)

// CallHandler handles the calls of a stream.
type CallHandler interface {
	Reserve(context.Context, *fleetpb.ReserveRequest) (*fleetpb.ReserveReply, error)
	Settle(context.Context, *fleetpb.SettleRequest) (*fleetpb.SettleReply, error)
}

// Calls serves a stream of calls until the client closes it or the store stops.
func (s *Store) Calls(stream fleetpb.Store_CallsServer) error { return s.ServeCalls(stream, s) }

// ServeCalls is Calls with another handler of the calls.
func (s *Store) ServeCalls(stream fleetpb.Store_CallsServer, h CallHandler) error {
	c := &callServer{handler: h, stream: stream, queue: make(chan *fleetpb.StoreCall), slots: make(chan struct{}, maxStreamCalls), failed: make(chan error, 1)}
	return c.run(s.stopping)
}

// callServer handles the calls of one stream concurrently, since each waits for the disk.
type callServer struct {
	handler CallHandler
	stream  fleetpb.Store_CallsServer
	// queue passes calls to idle workers.
	queue chan *fleetpb.StoreCall
	// slots holds an element for each call in progress.
	slots chan struct{}
	// failed receives the error that ended the receipt of calls.
	failed chan error

	// sendMu serializes sends.
	sendMu sync.Mutex

	mu sync.Mutex
	// closing is set when no further call is handled.
	closing bool
	workers int
	calls   sync.WaitGroup
}

// run returns nil, after all replies were sent, if the store stops: the client then
// knows that calls without a reply were not handled.
func (c *callServer) run(stopping <-chan struct{}) error {
	if err := c.stream.Send(&fleetpb.StoreCallReply{}); err != nil {
		return err
	}
	go c.receiveLoop()
	var err error
	select {
	case err = <-c.failed:
	case <-stopping:
	}
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	c.calls.Wait()
	if err == io.EOF {
		return nil
	}
	return err
}

func (c *callServer) receiveLoop() {
	// Only this goroutine sends to queue; closing it ends the idle workers.
	defer close(c.queue)
	for {
		call, err := c.stream.Recv()
		if err != nil {
			c.failed <- err
			return
		}
		c.slots <- struct{}{}
		if !c.start(call) {
			return
		}
	}
}

// start passes a call to a worker. It reports false if the stream is closing.
func (c *callServer) start(call *fleetpb.StoreCall) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.calls.Add(1)
	select {
	case c.queue <- call:
		return true
	default:
	}
	if c.workers < streamWorkers {
		c.workers++
		go c.workLoop(call)
		return true
	}
	go c.handle(call)
	return true
}

func (c *callServer) workLoop(first *fleetpb.StoreCall) {
	c.handle(first)
	for call := range c.queue {
		c.handle(call)
	}
}

func (c *callServer) handle(call *fleetpb.StoreCall) {
	defer c.calls.Done()
	reply := c.answer(call)
	reply.Id = call.GetId()
	c.sendMu.Lock()
	// If this fails, the stream is broken, which Recv reports too.
	_ = c.stream.Send(reply)
	c.sendMu.Unlock()
	<-c.slots
}

func (c *callServer) answer(call *fleetpb.StoreCall) *fleetpb.StoreCallReply {
	ctx := c.stream.Context()
	switch k := call.GetCall().(type) {
	case *fleetpb.StoreCall_Reserve:
		r, err := c.handler.Reserve(ctx, k.Reserve)
		if err != nil {
			return failedReply(err)
		}
		return &fleetpb.StoreCallReply{Reply: &fleetpb.StoreCallReply_Reserve{Reserve: r}}
	case *fleetpb.StoreCall_Settle:
		r, err := c.handler.Settle(ctx, k.Settle)
		if err != nil {
			return failedReply(err)
		}
		return &fleetpb.StoreCallReply{Reply: &fleetpb.StoreCallReply_Settle{Settle: r}}
	}
	return &fleetpb.StoreCallReply{Reply: &fleetpb.StoreCallReply_Error{Error: "store: unknown kind of call"}}
}

func failedReply(err error) *fleetpb.StoreCallReply {
	return &fleetpb.StoreCallReply{Reply: &fleetpb.StoreCallReply_Error{Error: err.Error()}}
}
