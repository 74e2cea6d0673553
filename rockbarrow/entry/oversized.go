// SPDX-License-Identifier: MIT

package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
)

// Part is a part of an endpoint's response that is limited.
type Part string

// The limited parts, as logs and metrics name them.
const (
	// PartHead is the status line and the headers.
	PartHead Part = "head"
	// PartInterim is the number of interim responses.
	PartInterim Part = "interim_responses"
	// PartStale is the body of a response to an earlier request.
	PartStale Part = "stale_body"
	// PartRefusal is the body of a refusal.
	PartRefusal Part = "refusal_body"
	// PartBody is the body that is forwarded.
	PartBody Part = "body"
	// PartEvent is what comes in a stream until an event with data is complete.
	PartEvent Part = "event"
	// PartTurn is the output of a turn, which is stored.
	PartTurn Part = "turn_output"
)

// OversizedError reports that an endpoint sent more than a part of a response may have.
type OversizedError struct {
	Part Part
	// Limit is that of the part, in bytes (a number for interim responses).
	Limit int64
}

func (e *OversizedError) Error() string {
	return fmt.Sprintf("entry: the %s of the response exceeds %d", e.Part, e.Limit)
}

const (
	// maxEventBytes bounds what a stream sends until an event with data is complete.
	maxEventBytes = 256 << 10
	// minBodyLimit is the least limit of a response body in bytes, and bodyLimitFactor the limit as a multiple of the
	// configured limit of request bodies.
	minBodyLimit    = 16 << 20
	bodyLimitFactor = 4
	// freeStreamBytes is what a stream may hold in buffers without a charge to the memory budget.
	freeStreamBytes = 64 << 10
)

// bodyLimit returns the limit of a response body in bytes.
func (x *exchange) bodyLimit() int64 {
	return max(minBodyLimit, bodyLimitFactor*int64(x.table.Limits().GetBodyBytes()))
}

// turnLimit returns the limit of a turn's output in bytes. The output becomes a part of the next turn's body.
func (x *exchange) turnLimit() int { return int(limitsOf(x.table).BodyBytes) }

// limitBody makes reads beyond the limit of the body return an [OversizedError]. A body that is known to be too long is
// one at once.
func (x *exchange) limitBody(resp *Response) error {
	limit := x.bodyLimit()
	if resp.ContentLength > limit && x.request.Method != http.MethodHead {
		return &OversizedError{Part: PartBody, Limit: limit}
	}
	resp.Body = &limitedBody{ReadCloser: http.MaxBytesReader(nil, resp.Body, limit)}
	return nil
}

// limitedBody converts the error of [http.MaxBytesReader].
type limitedBody struct{ io.ReadCloser }

func (b *limitedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		err = &OversizedError{Part: PartBody, Limit: large.Limit}
	}
	return n, err
}

// recordOversized logs and counts a response that was ended because a part of it is too long.
func (x *exchange) recordOversized(err error) {
	var oversized *OversizedError
	if !errors.As(err, &oversized) {
		return
	}
	part := string(oversized.Part)
	x.entry.Metrics.Tagged(map[string]string{"part": part}).Counter("oversized_responses").Inc(1)
	x.refusalLog().WithFields(logrus.Fields{"part": part, "limit": oversized.Limit}).Warn("a response of an endpoint exceeds its limit")
}

// chargeStream charges the buffers of a stream beyond freeStreamBytes. The error is that of [membudget.Account.ChargeBody].
func (x *exchange) chargeStream(ctx context.Context) error {
	more := int64(x.events.heldBytes()) - freeStreamBytes - x.streamCharge
	if more <= 0 {
		return nil
	}
	if err := x.memory.ChargeBody(ctx, more); err != nil {
		return err
	}
	x.streamCharge += more
	return nil
}
