// SPDX-License-Identifier: MIT

package watch

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/schema/fleetpb"
)

// partWithin is how long a part of a table may let itself be waited for before another
// control instance is asked. Parts of 64 KB take 17 ms on a link of 30 Mbit/s, a lost
// packet 200 ms, and a control instance takes some 0.2 s to make a table of 10,000 routes.
// One that needs longer goes on meanwhile and is asked again in its turn. The bound is on
// progress and not on the whole, so that a large table on a slow link comes through.
const partWithin = 400 * time.Millisecond

// TableFetchError says that no control instance brought a table.
type TableFetchError struct {
	// Version is the one that was wanted.
	Version uint64
	// Cause is the last failure, nil if no control instance is known.
	Cause error
}

// Error describes the failure.
func (e *TableFetchError) Error() string {
	if e.Cause == nil {
		return "watch: no control instance is known that could tell the routing table"
	}
	return "watch: no control instance told the routing table: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *TableFetchError) Unwrap() error { return e.Cause }

// FetchTable makes a table of at least a version of the one held, which may be nil, by what
// control instances tell. With an error it returns how far it came, which may be a newer
// table than the one held. Errors are of type [*TableFetchError].
func (c *Client) FetchTable(ctx context.Context, held *routing.Table, version uint64) (*routing.Table, error) {
	failed := &TableFetchError{Version: version}
	for _, t := range c.inOrder(time.Now()) {
		got, err := t.fetchTable(ctx, held, version)
		if err != nil && wrongTable(err) {
			c.Log.WithError(err).WithField("control", t.address).Warn("a change of the routing table is not readable and is asked for whole")
			got, err = t.fetchTable(ctx, nil, version)
		}
		if got.Version() > held.Version() {
			held = got
		}
		if err == nil {
			return held, nil
		}
		c.Log.WithError(err).WithField("control", t.address).Info("no routing table in time")
		failed.Cause = err
		if ctx.Err() != nil {
			break
		}
	}
	return held, failed
}

// wrongTable reports whether a change came that can't be applied.
func wrongTable(err error) bool {
	var base *routing.BaseError
	var digest *routing.DigestError
	return errors.As(err, &base) || errors.As(err, &digest)
}

// inOrder returns the control instances that answer, the one that tells news first.
func (c *Client) inOrder(now time.Time) []*target {
	first := c.primary(now)
	if first == nil {
		return nil
	}
	out := []*target{first}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.targets {
		if t != first && t.answered && now.Sub(t.lastAnswer) < silentAfter {
			out = append(out, t)
		}
	}
	return out
}

// fetchTable asks one control instance. It returns how far it came.
func (t *target) fetchTable(ctx context.Context, held *routing.Table, version uint64) (*routing.Table, error) {
	conn, err := t.client.Pool.Get(t.address)
	if err != nil {
		return held, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	within := t.client.PartTimeout
	if within == 0 {
		within = partWithin
	}
	stalled := time.AfterFunc(within, cancel)
	defer stalled.Stop()
	req := &fleetpb.TableRequest{Version: version}
	if held != nil {
		req.Held = held.Digest()
	}
	stream, err := fleetpb.NewControlClient(conn).Table(ctx, req)
	if err != nil {
		return held, err
	}
	f := &fetch{table: held}
	for {
		p, err := stream.Recv()
		if err == io.EOF {
			return f.table, f.end(version)
		}
		if err != nil {
			return f.table, err
		}
		stalled.Reset(within)
		if err := f.add(p); err != nil {
			return f.table, err
		}
	}
}

// fetch makes tables of the parts of a stream.
type fetch struct {
	// table is the newest that is whole.
	table *routing.Table
	// update makes the next one; it is nil between changes.
	update *routing.Update
}

// add applies a part.
func (f *fetch) add(p *fleetpb.TablePart) error {
	b, err := document.Decompress(p.GetFrame())
	if err != nil {
		return err
	}
	change := &fleetpb.TableChange{}
	if err := proto.Unmarshal(b, change); err != nil {
		return errors.Wrap(err, "watch: a part of a routing table")
	}
	if f.update == nil {
		if f.update, err = f.table.Begin(change.GetBase()); err != nil {
			return err
		}
	}
	next, err := f.update.Add(change)
	if err != nil {
		return err
	}
	if next != nil {
		f.table, f.update = next, nil
	}
	return nil
}

// end returns what is wrong about the end of a stream, if anything is.
func (f *fetch) end(version uint64) error {
	if f.update != nil {
		return errors.New("watch: a routing table ended before its last part")
	}
	if f.table.Version() < version {
		return errors.Errorf("watch: the routing table of version %d was told where %d is in force", f.table.Version(), version)
	}
	return nil
}
