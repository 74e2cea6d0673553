// SPDX-License-Identifier: MIT

package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// mode is what a proxy does with bytes.
type mode int32

const (
	// pass hands bytes on.
	pass mode = iota
	// delay hands them on late.
	delay
	// silence holds them back both ways, as a dark link does.
	silence
	// oneWay hands requests on and holds answers back.
	oneWay
	// reset ends connections and refuses new ones.
	reset
)

const (
	// delayBy is the added delay of a slow link.
	delayBy = 30 * time.Millisecond
	// holdTick is how often a silent link looks whether it passes again.
	holdTick = 10 * time.Millisecond
	// copySize in bytes of one read.
	copySize = 16 << 10
)

// proxy stands in front of one instance's peer address.
type proxy struct {
	listener net.Listener
	target   string
	mode     atomic.Int32
	// rate bounds the answers on each connection in bytes a second; zero is no bound.
	rate atomic.Int64
	// shared has all connections share the rate, as those over one link do. free is when the link has carried all that was sent before.
	shared atomic.Bool
	linkMu sync.Mutex
	free   time.Time
	// sides tells which senders are cut off from the instance.
	sides *sides
	owner *instance

	mu    sync.Mutex
	conns map[net.Conn]bool
}

func newProxy(owner *instance, s *sides) (*proxy, error) {
	l, err := net.Listen("tcp", owner.plan.PeerAddress())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: owner.plan.PeerListen(), sides: s, owner: owner, conns: map[net.Conn]bool{}}
	go p.loop()
	return p, nil
}

func (p *proxy) set(m mode) {
	p.mode.Store(int32(m))
	if m == reset {
		p.closeAll()
	}
}

func (p *proxy) close() {
	p.listener.Close()
	p.closeAll()
}

func (p *proxy) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
	clear(p.conns)
}

func (p *proxy) keep(c net.Conn) {
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
}

func (p *proxy) loop() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if mode(p.mode.Load()) == reset {
			c.Close()
			continue
		}
		go p.connect(&peerConn{Conn: c})
	}
}

// connect opens the other half of a connection, and carries bytes both ways. One from behind a cut is not answered until it ends.
func (p *proxy) connect(c *peerConn) {
	for p.sides.separate(c, p.owner) {
		time.Sleep(holdTick)
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		c.Close()
		return
	}
	p.keep(c)
	p.keep(t)
	go (&pipe{proxy: p, conn: c, from: c, to: t}).run()
	go (&pipe{proxy: p, conn: c, from: t, to: c, answers: true}).run()
}

// transmission returns how long it takes until n bytes are through.
func (p *proxy) transmission(n int, rate int64) time.Duration {
	took := time.Duration(n) * time.Second / time.Duration(rate)
	if !p.shared.Load() {
		return took
	}
	p.linkMu.Lock()
	defer p.linkMu.Unlock()
	now := time.Now()
	if p.free.Before(now) {
		p.free = now
	}
	p.free = p.free.Add(took)
	return p.free.Sub(now)
}

// pipe carries one direction of one connection.
type pipe struct {
	proxy *proxy
	// conn is the connection that the peer has opened.
	conn     *peerConn
	from, to net.Conn
	answers  bool
}

func (p *pipe) run() {
	defer p.from.Close()
	defer p.to.Close()
	buf := make([]byte, copySize)
	for {
		n, err := p.from.Read(buf)
		if rate := p.proxy.rate.Load(); p.answers && rate > 0 {
			time.Sleep(p.proxy.transmission(n, rate))
		}
		if n > 0 && p.hold() {
			if _, err := p.to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// hold waits as the mode says and reports whether bytes go on.
func (p *pipe) hold() bool {
	for {
		if p.proxy.sides.separate(p.conn, p.proxy.owner) {
			time.Sleep(holdTick)
			continue
		}
		switch mode(p.proxy.mode.Load()) {
		case delay:
			time.Sleep(delayBy)
			return true
		case silence:
			time.Sleep(holdTick)
		case oneWay:
			if !p.answers {
				return true
			}
			time.Sleep(holdTick)
		case reset:
			return false
		default:
			return true
		}
	}
}
