// SPDX-License-Identifier: MIT

package entry

import (
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/http1"
)

// recordRefused logs and counts a response that was ended because it is too long, malformed or reset. It ignores other errors.
func (x *exchange) recordRefused(err error) {
	x.recordOversized(err)
	x.recordMalformed(err)
	x.recordReset(err)
}

func (x *exchange) recordMalformed(err error) {
	var malformed *http1.MalformedError
	if !errors.As(err, &malformed) {
		return
	}
	x.entry.Metrics.Tagged(map[string]string{"part": malformed.Part}).Counter("malformed_responses").Inc(1)
	x.refusalLog().WithFields(logrus.Fields{"part": malformed.Part, "reason": malformed.Reason}).Warn("a response of an endpoint is malformed")
}

func (x *exchange) recordReset(err error) {
	var reset *http1.ResetError
	if !errors.As(err, &reset) {
		return
	}
	x.entry.Metrics.Counter("reset_responses").Inc(1)
	x.refusalLog().WithField("reason", reset.Error()).Info("an endpoint reset the connection of a response")
}

func (x *exchange) refusalLog() *logrus.Entry {
	return x.entry.Log.WithFields(logrus.Fields{"endpoint": x.endpoint.EndpointID, "born_ms": x.endpoint.StartMS, "request": x.request.ID})
}
