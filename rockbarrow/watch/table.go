// SPDX-License-Identifier: MIT

package watch

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/rockbarrow/routing"
	"rockbarrow.dev/schema/fleetpb"
)

// partTimeout is how long to wait for the next part of a table before asking
// another control instance. A part of 64 KB takes 17 ms on a link of 30 Mbit/s, a
// retransmission 200 ms, and a control instance takes about 0.2 s to build a table
// of 10,000 routes. Progress is bounded rather than the whole transfer, so that
// a large table on a slow link completes.
const partTimeout = 400 * time.Millisecond

const (
	// maxTableBytes limits what one stream of parts has, decoded: twice the text of the largest configuration that operators can
	// send.
	maxTableBytes = 32 << 20
	// minPartBytes is what a part counts as at least, so that empty ones come to an end, too.
	minPartBytes = 1 << 10
)

// TableSizeError reports that a stream of parts exceeds its limit.
type TableSizeError struct {
	// Limit is the limit in bytes.
	Limit int
}

func (e *TableSizeError) Error() string {
	return fmt.Sprintf("watch: a stream of routing tables exceeds %d bytes", e.Limit)
}

// TableFetchError is returned if no control instance delivered a table.
type TableFetchError struct {
	// Version is the requested version.
	Version uint64
	// Cause is the last error, nil if no control instance is reachable.
	Cause error
}

// Error describes the failure.
func (e *TableFetchError) Error() string {
	if e.Cause == nil {
		return "watch: no reachable control instance to fetch the routing table from"
	}
	return "watch: fetch routing table: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *TableFetchError) Unwrap() error { return e.Cause }

// FetchTable fetches a routing table of at least the given version from control
// instances. Held is the current table and may be nil. On error it returns the
// newest table that was completed, which may be newer than held. Errors are of type
// [*TableFetchError].
func (c *Client) FetchTable(ctx context.Context, held *routing.Table, version uint64) (*routing.Table, error) {
	fetchErr := &TableFetchError{Version: version}
	for _, t := range c.tableSources(time.Now()) {
		got, err := t.fetchTable(ctx, held, version)
		if err != nil && isChangeMismatch(err) {
			c.Log.WithError(err).WithField("control", t.address).Warn("routing table change cannot be applied, requesting the whole table")
			got, err = t.fetchTable(ctx, nil, version)
		}
		if got.Version() > held.Version() {
			held = got
		}
		if err == nil {
			return held, nil
		}
		c.Log.WithError(err).WithField("control", t.address).Info("no routing table in time")
		fetchErr.Cause = err
		if ctx.Err() != nil {
			break
		}
	}
	return held, fetchErr
}

// isChangeMismatch reports whether a change did not fit the table it was applied to.
func isChangeMismatch(err error) bool {
	var base *routing.BaseError
	var digest *routing.DigestError
	return errors.As(err, &base) || errors.As(err, &digest)
}

// tableSources returns the responsive control instances. Those that know the newest state come first, the most
// recently heard one at the front, as it is the least likely to have stalled.
func (c *Client) tableSources(now time.Time) []*target {
	state := c.State().GetNumber()
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*target
	for _, t := range c.targets {
		if t.answeredWithin(now, unreachableAfter) {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *target) int {
		if current := a.stateNumber >= state; current != (b.stateNumber >= state) {
			if current {
				return -1
			}
			return 1
		}
		return b.lastAnswer.Compare(a.lastAnswer)
	})
	return out
}

// fetchTable fetches a table from one control instance. On error it returns the
// newest table that was completed.
func (t *target) fetchTable(ctx context.Context, held *routing.Table, version uint64) (*routing.Table, error) {
	conn, err := t.client.Pool.Get(t.address)
	if err != nil {
		return held, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := t.client.PartTimeout
	if timeout == 0 {
		timeout = partTimeout
	}
	stallTimer := time.AfterFunc(timeout, cancel)
	defer stallTimer.Stop()
	req := &fleetpb.TableRequest{Version: version}
	if held != nil {
		req.Held = held.Digest()
	}
	stream, err := fleetpb.NewControlClient(conn).Table(ctx, req)
	if err != nil {
		return held, err
	}
	f := &tableReader{table: held}
	for {
		p, err := stream.Recv()
		if err == io.EOF {
			return f.table, f.checkComplete(version)
		}
		if err != nil {
			return f.table, err
		}
		stallTimer.Reset(timeout)
		if err := f.addPart(p); err != nil {
			return f.table, err
		}
	}
}

// tableReader assembles tables from the parts of a stream.
type tableReader struct {
	// table is the newest complete table.
	table *routing.Table
	// update builds the next table; nil between changes.
	update *routing.Update
	// size is that of all parts in bytes, decoded.
	size int
}

// addPart applies a part.
func (f *tableReader) addPart(p *fleetpb.TablePart) error {
	b, err := document.Decompress(p.GetFrame())
	if err != nil {
		return err
	}
	if f.size += max(len(b), minPartBytes); f.size > maxTableBytes {
		return &TableSizeError{Limit: maxTableBytes}
	}
	change := &fleetpb.TableChange{}
	if err := proto.Unmarshal(b, change); err != nil {
		return errors.Wrap(err, "watch: decode routing table part")
	}
	if f.update == nil {
		if f.update, err = f.table.BeginUpdate(change.GetBase()); err != nil {
			return err
		}
	}
	next, err := f.update.AddPart(change)
	if err != nil {
		return err
	}
	if next != nil {
		f.table, f.update = next, nil
	}
	return nil
}

// checkComplete returns an error if a stream ended early or with an older version.
func (f *tableReader) checkComplete(version uint64) error {
	if f.update != nil {
		return errors.New("watch: routing table stream ended before its last part")
	}
	if f.table.Version() < version {
		return errors.Errorf("watch: received routing table version %d, want at least %d", f.table.Version(), version)
	}
	return nil
}
