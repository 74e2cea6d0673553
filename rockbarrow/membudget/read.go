// SPDX-License-Identifier: MIT

package membudget

import (
	"context"
	"io"
	"time"
)

// FirstBuffer is the size in bytes of the first buffer for a body, which fits most prompts, and FirstChunkedBuffer that for one of
// unknown length. A larger body gets larger buffers as it arrives, so that a client can't occupy the budget by its Content-Length alone.
const (
	FirstBuffer        = 32 << 10
	FirstChunkedBuffer = 4 << 10
)

// ReadAll reads a body of a known length, or of an unknown one if it is negative, and charges each buffer before it is filled. While it
// reads, evict may be called, see [Account.BeginReading]. A nil account means no limit.
func ReadAll(ctx context.Context, r io.Reader, length int64, a *Account, evict func()) ([]byte, error) {
	if a == nil {
		return io.ReadAll(r)
	}
	if length == 0 {
		return nil, nil
	}
	a.BeginReading(evict)
	defer a.EndReading()
	body, err := growBody(ctx, nil, length, a)
	for err == nil {
		var n int
		n, err = r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		a.RecordRead(time.Now())
		if err == nil && len(body) == cap(body) {
			body, err = growBody(ctx, body, length, a)
		}
	}
	if err != io.EOF {
		return nil, err
	}
	return body, nil
}

// growBody returns a larger buffer with the same bytes, and charges it.
func growBody(ctx context.Context, body []byte, length int64, a *Account) ([]byte, error) {
	first := int64(FirstBuffer)
	if length < 0 {
		first = FirstChunkedBuffer
	}
	size := max(first, 2*int64(cap(body)))
	if length > int64(cap(body)) {
		// One more byte is needed to read to the end.
		size = min(size, length+1)
	}
	if err := a.ChargeBody(ctx, size); err != nil {
		return nil, err
	}
	out := append(make([]byte, 0, size), body...)
	a.ReleaseBody(int64(cap(body)))
	return out, nil
}
