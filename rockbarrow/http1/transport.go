// SPDX-License-Identifier: MIT

package http1

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// Transport is an [http.Transport] that checks responses. What it refuses is a [MalformedError] or a [ResetError] of the round trip or of
// the body, and net/http does not send such a request again. Set the exported fields before the first request.
type Transport struct {
	// Log and Metrics are told of refused responses; nil means neither.
	Log     *logrus.Entry
	Metrics tally.Scope

	base *http.Transport
	dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// NewTransport returns a transport that uses base, of which it sets the functions that dial. It speaks HTTP/1.x alone.
func NewTransport(base *http.Transport) *Transport {
	t := &Transport{base: base, dial: base.DialContext}
	if t.dial == nil {
		t.dial = (&net.Dialer{}).DialContext
	}
	base.DialContext = t.dialPlain
	base.DialTLSContext = t.dialTLS
	return t
}

func (t *Transport) dialPlain(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return newConn(c), nil
}

func (t *Transport) dialTLS(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := t.dial(ctx, network, address)
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{}
	if t.base.TLSClientConfig != nil {
		cfg = t.base.TLSClientConfig.Clone()
	}
	if cfg.ServerName == "" {
		// Only the host decides which certificate is right.
		cfg.ServerName, _, err = net.SplitHostPort(address)
	}
	cfg.NextProtos = nil
	c := tls.Client(raw, cfg)
	if err == nil {
		err = c.HandshakeContext(ctx)
	}
	if err != nil {
		_ = raw.Close()
		return nil, errors.Wrap(err, "http1: TLS")
	}
	return newConn(c), nil
}

// CloseIdleConnections closes the connections that are not in use.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// RoundTrip sends a request and reads the head of its response.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	x := &roundTrip{transport: t, request: req}
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{GotConn: x.gotConn})
	resp, err := t.base.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, x.reason(err)
	}
	resp.Request = req
	if resp.Body != http.NoBody {
		resp.Body = &body{ReadCloser: resp.Body, roundTrip: x}
	}
	return resp, nil
}

// roundTrip is one request and its response.
type roundTrip struct {
	transport *Transport
	request   *http.Request
	conn      atomic.Pointer[conn]
	logged    atomic.Bool
}

func (x *roundTrip) gotConn(info httptrace.GotConnInfo) {
	if c, ok := info.Conn.(*conn); ok {
		c.beginRequest(x.request.Method)
		x.conn.Store(c)
	}
}

// reason returns why the response was refused in place of err: net/http reports an incomplete line instead. After the end of the request's
// context, it returns err.
func (x *roundTrip) reason(err error) error {
	c := x.conn.Load()
	if c == nil || x.request.Context().Err() != nil {
		return err
	}
	refused := c.refusal()
	if refused == nil {
		return err
	}
	if x.logged.CompareAndSwap(false, true) {
		x.transport.record(x.request, refused)
	}
	return refused
}

// record logs and counts a refused response.
func (t *Transport) record(req *http.Request, refused error) {
	var malformed *MalformedError
	name, message := "reset_responses", "the connection of a response was reset"
	if errors.As(refused, &malformed) {
		name, message = "malformed_responses", "a response is malformed"
	}
	if t.Metrics != nil {
		t.Metrics.Counter(name).Inc(1)
	}
	if t.Log != nil {
		t.Log.WithFields(logrus.Fields{"address": req.URL.Host, "path": req.URL.Path, "reason": refused.Error()}).Warn(message)
	}
}

// body is the body of a response.
type body struct {
	io.ReadCloser
	roundTrip *roundTrip
}

// Read returns io.EOF only after the complete body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil && err != io.EOF {
		err = b.roundTrip.reason(err)
	}
	return n, err
}
