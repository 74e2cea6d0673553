// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"io"
	"net/http"
	"sync"

	"rockbarrow.dev/rockbarrow/membudget"
	"rockbarrow.dev/rockbarrow/stores"
)

// firstAnswerBuffer is the size in bytes of the first buffer for an answer of unknown length.
const firstAnswerBuffer = 4 << 10

// answer is a response that is no event stream, or its beginning.
type answer struct {
	account *membudget.Account
	body    []byte
	// complete is true if body is the whole response.
	complete bool
	// charged is the number of bytes charged to the account.
	charged int64
}

// release releases the bytes of the answer.
func (a *answer) release() { a.account.ReleaseAhead(a.charged) }

// copyBuffer returns the buffer for copying the rest of the response, nil for one of io.Copy.
func (a *answer) copyBuffer() []byte {
	if a.account == nil {
		return nil
	}
	return make([]byte, readBufferSize)
}

// readAnswer reads a response of up to maxBufferedBody bytes, or as much of it as the memory
// budget has room for.
func (x *exchange) readAnswer(resp *Response) (*answer, error) {
	a := &answer{account: x.memory}
	if a.account == nil {
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody+1))
		a.body, a.complete = body, len(body) <= maxBufferedBody
		return a, err
	}
	size := int64(firstAnswerBuffer)
	if resp.ContentLength >= 0 {
		// One more byte is needed to read to the end.
		size = resp.ContentLength + 1
	}
	for a.grow(size) {
		for len(a.body) < cap(a.body) {
			n, err := resp.Body.Read(a.body[len(a.body):cap(a.body)])
			a.body = a.body[:len(a.body)+n]
			if err == io.EOF {
				a.complete = len(a.body) <= maxBufferedBody
				return a, nil
			}
			if err != nil {
				return a, err
			}
		}
		size = 2 * int64(cap(a.body))
	}
	return a, nil
}

// grow enlarges the buffer to size bytes, at most one more than maxBufferedBody. It reports false
// if the buffer has that size or the budget has no room. The last byte is not charged, as it
// only shows that the answer is too long.
func (a *answer) grow(size int64) bool {
	size = min(size, maxBufferedBody+1)
	more := min(size, maxBufferedBody) - a.charged
	if size <= int64(cap(a.body)) || !a.account.TryAhead(more) {
		return false
	}
	a.charged += more
	a.body = append(make([]byte, 0, size), a.body...)
	return true
}

// setSlot sets the function that releases the concurrency slot, and returns the one to call at the
// end of the request. With a memory budget, the slot is released before the response is written
// to a client that may be slow.
func (x *exchange) setSlot(release func()) func() {
	if x.request.Memory == nil {
		return release
	}
	x.releaseSlot = sync.OnceFunc(release)
	return x.releaseSlot
}

// endSlot releases the concurrency slot once the endpoint has no more work with the request.
func (x *exchange) endSlot() {
	if x.releaseSlot != nil {
		x.releaseSlot()
	}
}

// chargeHistory charges the prompt that buildPrompt copies. It returns a non-nil outcome if there
// is no room for it.
func (x *exchange) chargeHistory(ctx context.Context, g *stores.Grant) Outcome {
	if x.memory == nil || len(g.History()) == 0 {
		return nil
	}
	size := len(x.request.Body)
	for _, t := range g.History() {
		size += len(t.GetInput()) + len(t.GetOutput())
	}
	if x.request.Memory == nil {
		// Usual histories need no room beside large ones.
		size = max(0, size-freeStreamBytes)
	}
	err := x.memory.ChargeBody(ctx, int64(size))
	if err == nil {
		return nil
	}
	by := x.recordMemoryError(err)
	if by == StepMemory {
		return Rejected{Status: http.StatusServiceUnavailable, RetryAfter: longRetryAfter, Reason: "the memory for requests has no room for the program's history", By: by}
	}
	return Rejected{Status: http.StatusServiceUnavailable, Reason: err.Error(), By: by}
}
