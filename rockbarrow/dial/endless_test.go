// SPDX-License-Identifier: MIT

package dial

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/emptypb"
)

// endlessBytes is what an endless stream of bytes has in tests that its reader does not end.
const endlessBytes = 128 << 20

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	b := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	b = append(b, flags)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

const (
	frameData, frameHeaders, frameSettings, frameContinuation = 0, 1, 4, 9
	flagAck, flagEndHeaders                                   = 1, 4
)

// field returns a header field that HPACK does not store.
func field(name, value string) []byte {
	b := append([]byte{0, byte(len(name))}, name...)
	return append(append(b, byte(len(value))), value...)
}

// fields fills most of a frame.
func fields() []byte { return bytes.Repeat(field("name", "12"), 1000) }

// responseHead begins the response of a call. Field 8 of HPACK's table is the status 200.
func responseHead(flags byte) []byte {
	return frame(frameHeaders, flags, 1, append([]byte{0x88}, field("content-type", "application/grpc")...))
}

var settings = append(frame(frameSettings, 0, 0, nil), frame(frameSettings, flagAck, 0, nil)...)

// message is the beginning of a message of 4 GB.
var message = []byte{0, 0xff, 0xff, 0xff, 0xff}

// endlessBytesOf are bytes that an instance sends without end: what they begin with, and what follows again and again.
type endlessBytesOf struct {
	name             string
	beginning, piece []byte
}

// endlessFrames are what a server may send, unclaimedFrames those that belong to no call in progress, or to a head without fields.
var endlessFrames = []endlessBytesOf{
	{"bytes that are no frame", nil, []byte("bytes that are no frame")},
	{"a frame beyond the limit", append(settings[:len(settings):len(settings)], 0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1), []byte("b")},
	{"headers", append(settings[:len(settings):len(settings)], responseHead(0)...), frame(frameContinuation, 0, 1, fields())},
}

var unclaimedFrames = []endlessBytesOf{
	{"empty headers", append(settings[:len(settings):len(settings)], responseHead(0)...), frame(frameContinuation, 0, 1, nil)},
	{"a message", append(append(settings[:len(settings):len(settings)], responseHead(flagEndHeaders)...), frame(frameData, 0, 1, message)...), frame(frameData, 0, 1, make([]byte, 16<<10))},
	{"a response to another call", settings, frame(frameData, 0, 7, make([]byte, 16<<10))},
}

// TestEndlessFramesOfAServerAreEnded guards against an instance that stores or reads without end what another one sends as the answer
// to a call, and that loses its calls to others over it.
func TestEndlessFramesOfAServerAreEnded(t *testing.T) { checkServerFrames(t, endlessFrames) }

// TestUnclaimedFramesAreEnded guards against an instance that reads and drops without end what belongs to no call in progress, as
// the rest of a message that was too large.
func TestUnclaimedFramesAreEnded(t *testing.T) {
	checkServerFrames(t, unclaimedFrames)
	checkClientFrames(t, []endlessBytesOf{
		{"a message of a client", append(clientHead(flagEndHeaders), frame(frameData, 0, 1, message)...), frame(frameData, 0, 1, make([]byte, 16<<10))},
	})
}

func checkServerFrames(t *testing.T, tests []endlessBytesOf) {
	t.Helper()
	p := &Pool{}
	t.Cleanup(p.Close)
	sound := serveEcho(t)
	for _, test := range tests {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		s := &endlessServer{listener: l, beginning: test.beginning, piece: test.piece, written: make(chan int, 64)}
		go s.loop()
		if err := invoke(t, p, l.Addr().String(), 5*time.Second); err == nil {
			t.Errorf("%s: the call succeeded", test.name)
		}
		if n := <-s.written; n >= endlessBytes {
			t.Errorf("%s: %d bytes were read", test.name, n)
		}
		l.Close()
		p.Release(l.Addr().String())
		if err := invoke(t, p, sound, time.Minute); err != nil {
			t.Errorf("%s: another call: %v", test.name, err)
		}
	}
}

// TestEndlessFramesOfAClientAreEnded is the same for what an instance gets as a call.
func TestEndlessFramesOfAClientAreEnded(t *testing.T) {
	checkClientFrames(t, []endlessBytesOf{
		{"bytes that are no preface", nil, []byte("b")},
		{"headers", clientHead(0), frame(frameContinuation, 0, 1, fields())},
	})
}

const preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"

// clientHead begins a connection and a call. Fields 3, 6 and 4 of HPACK's table are the method POST, the scheme http and the path /.
func clientHead(flags byte) []byte {
	b := append([]byte(preface), settings...)
	return append(b, frame(frameHeaders, flags, 1, append([]byte{0x83, 0x86, 0x84}, field("content-type", "application/grpc")...))...)
}

func checkClientFrames(t *testing.T, tests []endlessBytesOf) {
	t.Helper()
	p := &Pool{}
	t.Cleanup(p.Close)
	sound := serveEcho(t)
	for _, test := range tests {
		c, err := net.Dial("tcp", sound)
		if err != nil {
			t.Fatal(err)
		}
		go io.Copy(io.Discard, c)
		if n := writeFrames(c, test.beginning, test.piece); n >= endlessBytes {
			t.Errorf("%s: %d bytes were read", test.name, n)
		}
		c.Close()
		if err := invoke(t, p, sound, time.Minute); err != nil {
			t.Errorf("%s: another call: %v", test.name, err)
		}
	}
}

// TestHeadersOfACallAreLimited guards against a limit of 16 MB for the headers of each call, in both directions.
func TestHeadersOfACallAreLimited(t *testing.T) {
	c, err := net.Dial("tcp", serveEcho(t))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := c.Write(append([]byte(preface), frame(frameSettings, 0, 0, nil)...)); err != nil {
		t.Fatal(err)
	}
	checkHeaderLimit(t, "of a client", c)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := &Pool{}
	t.Cleanup(p.Close)
	conn, err := p.Get(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	conn.Connect()
	s, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := io.ReadFull(s, make([]byte, len(preface))); err != nil {
		t.Fatal(err)
	}
	checkHeaderLimit(t, "of a server", s)
}

// checkHeaderLimit reads the settings of the other side.
func checkHeaderLimit(t *testing.T, name string, r io.Reader) {
	t.Helper()
	if n := headerLimit(t, r); n == 0 || n > maxHeadBytes {
		t.Errorf("headers %s: a limit of %d bytes is announced, want %d", name, n, maxHeadBytes)
	}
}

// headerLimit reads the settings of the other side and returns its limit of headers, zero without one.
func headerLimit(t *testing.T, r io.Reader) uint32 {
	t.Helper()
	const limitID = 6
	head := make([]byte, 9)
	if _, err := io.ReadFull(r, head); err != nil || head[3] != frameSettings {
		t.Fatalf("%v, %v", head, err)
	}
	b := make([]byte, int(head[1])<<8|int(head[2]))
	if _, err := io.ReadFull(r, b); err != nil {
		t.Fatal(err)
	}
	for ; len(b) >= 6; b = b[6:] {
		if binary.BigEndian.Uint16(b) == limitID {
			return binary.BigEndian.Uint32(b[2:])
		}
	}
	return 0
}

// endlessServer sends frames on each connection until the other side closes it.
type endlessServer struct {
	listener         net.Listener
	beginning, piece []byte
	written          chan int
}

func (s *endlessServer) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(c)
	}
}

func (s *endlessServer) serve(c net.Conn) {
	defer c.Close()
	go io.Copy(io.Discard, c)
	select {
	case s.written <- writeFrames(c, s.beginning, s.piece):
	default:
	}
}

// writeFrames writes until the other side closes, and returns how many bytes it took.
func writeFrames(w io.Writer, beginning, piece []byte) int {
	n, err := w.Write(beginning)
	block := bytes.Repeat(piece, 1+(64<<10)/len(piece))
	for err == nil && n < endlessBytes {
		var m int
		m, err = w.Write(block)
		n += m
	}
	return n
}

// serveEcho starts a server that answers each call with an empty message, and returns its address.
func serveEcho(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := NewServer()
	g.RegisterService(&grpc.ServiceDesc{ServiceName: "echo", HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{{
		MethodName: "Call",
		Handler: func(_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			in := &emptypb.Empty{}
			return in, decode(in)
		},
	}}}, nil)
	go func() {
		// Serve returns an error after the test stops the server.
		if err := g.Serve(l); err != nil {
			return
		}
	}()
	t.Cleanup(g.Stop)
	return l.Addr().String()
}

// invoke calls the server at an address.
func invoke(t *testing.T, p *Pool, address string, timeout time.Duration) error {
	t.Helper()
	conn, err := p.Get(address)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	return conn.Invoke(ctx, "/echo/Call", &emptypb.Empty{}, &emptypb.Empty{}, grpc.WaitForReady(true))
}
