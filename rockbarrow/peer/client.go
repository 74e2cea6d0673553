// SPDX-License-Identifier: MIT

// Package peer speaks the protocol between instances, by gRPC.
//
// [Client] reaches other instances and [Server] answers them. Each message
// names its sender; a [Cut] lets a test close links to chosen instances.
package peer

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/rockbarrow/config"
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/peer/wire"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/operatorpb"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// Protocol is the version of the protocol that this build speaks. Builds
	// whose versions differ by one work side by side.
	Protocol = 1
	// maxMessage bounds one message: a run's whole history fits.
	maxMessage = 64 << 20
	// maxHeadBytes bounds the headers and trailers of a call in each direction. They have a few hundred bytes, and gRPC's
	// default is 16 MB.
	maxHeadBytes = 64 << 10
	// senderKey carries the sender's instance.
	senderKey = "rockbarrow-instance"
)

// UnknownInstanceError says that the settings name no such instance.
type UnknownInstanceError struct {
	// Instance is the name asked for.
	Instance string
}

// Error names the instance.
func (e *UnknownInstanceError) Error() string { return "peer: unknown instance " + e.Instance }

// CutError says that a test has closed the link.
type CutError struct {
	// Instance is the other end.
	Instance string
}

// Error names the instance.
func (e *CutError) Error() string { return "peer: link to " + e.Instance + " is cut" }

// Cut is the set of instances whose links are closed. The zero value closes
// none.
type Cut struct {
	mu     sync.Mutex
	closed map[string]bool
}

// Set closes the links to exactly these instances.
func (c *Cut) Set(instances []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = map[string]bool{}
	for _, i := range instances {
		c.closed[i] = true
	}
}

// Closed reports whether the link to an instance is closed.
func (c *Cut) Closed(instance string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed[instance]
}

// Client reaches other instances. Set the exported fields before the first call.
type Client struct {
	Instance    string
	Peers       []roster.Peer
	Credentials credentials.TransportCredentials
	Cut         *Cut

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	c.conns = nil
}

func (c *Client) dial(instance string) (peerpb.PeerClient, error) {
	if c.Cut.Closed(instance) {
		return nil, &CutError{Instance: instance}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[instance]; conn != nil {
		return peerpb.NewPeerClient(conn), nil
	}
	for _, p := range c.Peers {
		if p.Instance() != instance {
			continue
		}
		conn, err := grpc.NewClient("passthrough:///"+p.Address(),
			grpc.WithTransportCredentials(c.Credentials),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
			grpc.WithConnectParams(grpc.ConnectParams{
				Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second},
				MinConnectTimeout: time.Second,
			}),
			grpc.WithMaxHeaderListSize(maxHeadBytes),
			grpc.WithDisableRetry(),
		)
		if err != nil {
			return nil, errors.Wrap(err, "peer: dial "+instance)
		}
		if c.conns == nil {
			c.conns = map[string]*grpc.ClientConn{}
		}
		c.conns[instance] = conn
		return peerpb.NewPeerClient(conn), nil
	}
	return nil, &UnknownInstanceError{Instance: instance}
}

func (c *Client) mark(ctx context.Context) context.Context {
	return metadata.AppendToOutgoingContext(ctx, senderKey, c.Instance)
}

// Heartbeat exchanges beats with a peer.
func (c *Client) Heartbeat(ctx context.Context, instance string, beats []roster.Heartbeat) ([]roster.Heartbeat, error) {
	p, err := c.dial(instance)
	if err != nil {
		return nil, err
	}
	reply, err := p.Heartbeat(c.mark(ctx), &peerpb.HeartbeatRequest{Instance: c.Instance, Protocol: Protocol, Beats: fromBeats(beats)})
	if err != nil {
		return nil, errors.Wrap(err, "peer: heartbeat")
	}
	return toBeats(reply.GetBeats()), nil
}

// Journal carries one message to a member of a journal.
func (c *Client) Journal(ctx context.Context, name string, to journal.Member, m journal.Message) (journal.Reply, error) {
	p, err := c.dial(to.Instance())
	if err != nil {
		return nil, err
	}
	reply, err := p.Journal(c.mark(ctx), wire.Request(name, to, m))
	if err != nil {
		return nil, errors.Wrap(err, "peer: journal")
	}
	return wire.ToReply(reply), nil
}

// Do passes a caller's request on.
func (c *Client) Do(ctx context.Context, instance string, req *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error {
	p, err := c.dial(instance)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(c.mark(ctx))
	defer cancel()
	stream, err := p.Do(ctx, req)
	if err != nil {
		return errors.Wrap(err, "peer: do")
	}
	for {
		e, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "peer: do")
		}
		if err := emit(e); err != nil {
			return err
		}
	}
}

// Pull asks a peer for a version newer than one.
func (c *Client) Pull(ctx context.Context, instance string, version uint64) (*peerpb.PullReply, error) {
	p, err := c.dial(instance)
	if err != nil {
		return nil, err
	}
	reply, err := p.Pull(c.mark(ctx), &peerpb.PullRequest{Version: version})
	return reply, errors.Wrap(err, "peer: pull")
}

// Push offers a version to a peer.
func (c *Client) Push(ctx context.Context, instance string, offer *peerpb.PullReply) error {
	p, err := c.dial(instance)
	if err != nil {
		return err
	}
	_, err = p.Push(c.mark(ctx), offer)
	return errors.Wrap(err, "peer: push")
}

// Command passes an operator's command on. A [*config.UnavailableError] says
// that the peer certainly did not take it.
func (c *Client) Command(ctx context.Context, instance string, req *peerpb.CommandRequest) (*operatorpb.ApplyReply, error) {
	p, err := c.dial(instance)
	if err != nil {
		return nil, &config.UnavailableError{Reason: err.Error()}
	}
	reply, err := p.Command(c.mark(ctx), req)
	if status.Code(err) == codes.FailedPrecondition {
		return nil, &config.UnavailableError{Reason: status.Convert(err).Message()}
	}
	return reply, errors.Wrap(err, "peer: command")
}

// Audit streams the audit trail from the control leader.
func (c *Client) Audit(ctx context.Context, instance string, req *operatorpb.AuditRequest, emit func(*recordpb.AuditRecord) error) error {
	p, err := c.dial(instance)
	if err != nil {
		return err
	}
	stream, err := p.Audit(c.mark(ctx), req)
	if err != nil {
		return errors.Wrap(err, "peer: audit")
	}
	for {
		line, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "peer: audit")
		}
		if err := emit(line); err != nil {
			return err
		}
	}
}
