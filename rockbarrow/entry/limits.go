// SPDX-License-Identifier: MIT

package entry

import (
	"net/http"
	"time"

	"rockbarrow.dev/rockbarrow/routing"
)

const (
	// defaultBodyBytes, defaultHeaderBytes, defaultHeaderTimeout and defaultIdleTimeout hold unless the configuration sets
	// limits.
	defaultBodyBytes     = 1 << 20
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = 60 * time.Second
)

// ClientLimits are the limits of what clients send and how long they take.
type ClientLimits struct {
	// BodyBytes and HeaderBytes limit a request's body and its headers, in bytes.
	BodyBytes   int64
	HeaderBytes int
	// HeaderTimeout is how long a request's headers may take, IdleTimeout how long a connection may have no request.
	HeaderTimeout, IdleTimeout time.Duration
	// Default is true while no configuration is in force.
	Default bool
}

// Limits returns the limits of the configuration in force, and the defaults of those that it does not set.
func (e *Entry) Limits() ClientLimits {
	if t := e.table.Load(); t != nil {
		return limitsOf(t)
	}
	l := limitsOf(&routing.Table{})
	l.Default = true
	return l
}

func limitsOf(t *routing.Table) ClientLimits {
	l := ClientLimits{BodyBytes: defaultBodyBytes, HeaderBytes: defaultHeaderBytes, HeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout}
	set := t.Limits()
	if n := set.GetBodyBytes(); n > 0 {
		l.BodyBytes = int64(n)
	}
	if n := set.GetHeaderBytes(); n > 0 {
		l.HeaderBytes = int(n)
	}
	if ms := set.GetHeaderTimeoutMs(); ms > 0 {
		l.HeaderTimeout = time.Duration(ms) * time.Millisecond
	}
	if ms := set.GetIdleTimeoutMs(); ms > 0 {
		l.IdleTimeout = time.Duration(ms) * time.Millisecond
	}
	return l
}

// checkSize returns a refusal unless a request is within the limits of the table that routes it, which may be newer than those that it
// was read by.
func checkSize(t *routing.Table, req *Request) Outcome {
	l := limitsOf(t)
	if req.HeaderBytes > l.HeaderBytes {
		return Rejected{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: "the headers are too large"}
	}
	if int64(len(req.Body)) > l.BodyBytes {
		return Rejected{Status: http.StatusRequestEntityTooLarge, Reason: "the body is too large"}
	}
	return nil
}
