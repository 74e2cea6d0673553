// SPDX-License-Identifier: MIT

// Package daemon assembles the components of an instance and runs them.
package daemon

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"

	"rockbarrow.dev/rockbarrow/backend"
	"rockbarrow.dev/rockbarrow/caller"
	"rockbarrow.dev/rockbarrow/config"
	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/dispatch"
	"rockbarrow.dev/rockbarrow/endpointlist"
	"rockbarrow.dev/rockbarrow/engine"
	"rockbarrow.dev/rockbarrow/gossip"
	"rockbarrow.dev/rockbarrow/host"
	"rockbarrow.dev/rockbarrow/http1"
	"rockbarrow.dev/rockbarrow/inbound"
	"rockbarrow.dev/rockbarrow/listen"
	"rockbarrow.dev/rockbarrow/membudget"
	"rockbarrow.dev/rockbarrow/operator"
	"rockbarrow.dev/rockbarrow/peer"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/rockbarrow/service"
	"rockbarrow.dev/rockbarrow/settings"
)

const (
	// memoryLimitShare is the runtime's soft limit as a share of limits.memory_bytes.
	memoryLimitShare = 0.6
	// maxAnswerBytes bounds the size of an answer.
	maxAnswerBytes = 8 << 20
	// maxAnswersBytes bounds all answers that are coming in: eight of the largest, beside usual ones.
	maxAnswersBytes = 8 * maxAnswerBytes
	// maxHeadBytes bounds the headers of responses in bytes.
	maxHeadBytes = 64 << 10
	// streamStallTimeout bounds the time between two parts of an engine's
	// stream.
	streamStallTimeout = 20 * time.Second
	// enginePollInterval is the interval at which engines are polled.
	enginePollInterval = 500 * time.Millisecond
	// drainPollInterval is the interval at which a stopping instance checks for
	// calls in progress.
	drainPollInterval = 50 * time.Millisecond
	// propagationDelay is the time in which load balancers notice a change of
	// readiness, and the owners of runs replicated here begin to replace this
	// instance.
	propagationDelay = 2500 * time.Millisecond
)

// Daemon is an instance. The exported fields must be set before Run.
type Daemon struct {
	Settings *settings.Settings
	Log      *logrus.Entry

	incarnation    uint64
	started        time.Time
	scope          tally.Scope
	metricsHandler http.Handler
	credentials    credentials
	partition      *peer.Cut
	client         *peer.Client
	membership     *gossip.Node
	source         *config.Source
	dispatcher     *dispatch.Dispatcher
	host           *host.Host
	cleanups       []func()
	// failed receives the first error that ends the instance.
	failed chan error
	// stopping is set before the first request is refused.
	stopping stopFlag
	stop     *plannedStop
}

// Run serves until ctx is done and then stops without aborting calls in
// progress.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.cleanup()
	d.incarnation = uint64(time.Now().UnixNano())
	d.started = time.Now()
	d.failed = make(chan error, 4)
	if m := d.Settings.Limits.MemoryBytes; m > 0 {
		defer debug.SetMemoryLimit(debug.SetMemoryLimit(int64(memoryLimitShare * float64(m))))
	}
	d.stop = newPlannedStop()
	defer d.stop.setLate()
	defer d.stop.setEnded()
	if err := d.build(); err != nil {
		return err
	}
	return d.serve(ctx)
}

func (d *Daemon) cleanup() {
	for i := len(d.cleanups) - 1; i >= 0; i-- {
		d.cleanups[i]()
	}
}

// servers holds the listeners of an instance.
type servers struct {
	daemon    *Daemon
	callers   *http.Server
	peers     *grpc.Server
	operators *gracefulStop
	test      *http.Server
	wait      sync.WaitGroup
	// callerServer answers the requests on conns.
	callerServer *caller.Server
	conns        caller.Conns

	// stopListening keeps addresses from being listened at again.
	stopListening context.CancelFunc

	mu              sync.Mutex
	callerListeners []net.Listener
}

func (d *Daemon) serve(ctx context.Context) error {
	s := &servers{daemon: d}
	listening, stopListening := context.WithCancel(ctx)
	defer stopListening()
	s.stopListening = stopListening
	if err := s.listen(listening); err != nil {
		return err
	}
	tasks, stopTasks := context.WithCancel(context.Background())
	defer stopTasks()
	for _, run := range d.backgroundTasks() {
		s.wait.Add(1)
		go (&backgroundTask{run: run, ctx: tasks, wait: &s.wait}).loop()
	}
	d.Log.Info("serving")
	var err error
	var end time.Time
	select {
	case <-ctx.Done():
		end = s.drain()
	case err = <-d.failed:
		end = time.Now().Add(closeTime)
	}
	s.close(end)
	stopTasks()
	s.wait.Wait()
	d.Log.Info("stopped")
	return err
}

// backgroundTask runs a component until its context is done.
type backgroundTask struct {
	run  func(context.Context)
	ctx  context.Context
	wait *sync.WaitGroup
}

func (t *backgroundTask) loop() {
	defer t.wait.Done()
	t.run(t.ctx)
}

func (d *Daemon) backgroundTasks() []func(context.Context) {
	out := []func(context.Context){d.membership.Run, d.source.Run, d.dispatcher.Run, d.host.Run}
	client := pollClient(d.scope, d.Log)
	out = append(out, (&engine.Watcher{HTTP: client, Dispatcher: d.dispatcher, Every: enginePollInterval, Near: d.Settings.Domain, Log: d.Log}).Run)
	if p := d.Settings.Platform; p.ListURL != "" {
		out = append(out, (&endpointlist.Poller{
			HTTP: client, URL: p.ListURL, Interval: settings.Milliseconds(p.PollMS), Roster: d.membership, Dispatcher: d.dispatcher, Log: d.Log,
		}).Run)
	}
	return out
}

// pollClient returns the client for the reports of engines and the platform's list.
func pollClient(scope tally.Scope, log *logrus.Entry) *http.Client {
	t := http1.NewTransport(&http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeadBytes})
	t.Metrics, t.Log = scope, log
	return &http.Client{Transport: t}
}

// domainUnderReplicated reports whether a live instance of the failure domain
// owns runs that lack replicas.
func (d *Daemon) domainUnderReplicated() bool {
	for _, i := range d.membership.View().Instances() {
		if i.Domain() == d.Settings.Domain && i.Instance() != d.Settings.Instance && i.State() == roster.Live && i.Heartbeat().UnderReplicatedRuns() > 0 {
			return true
		}
	}
	return false
}

func (s *servers) listen(ctx context.Context) error {
	d := s.daemon
	secure := d.credentials.secure
	s.callerServer = d.callerServer()
	s.conns.Bounds, s.conns.Memory = d.callerBounds(), s.callerServer.Bodies
	s.callers = &http.Server{
		Handler: s.callerServer.Handler(), MaxHeaderBytes: d.Settings.Limits.HeaderBytes, ReadHeaderTimeout: 10 * time.Second,
		ConnState: s.conns.State, ConnContext: s.conns.Context,
	}
	s.peers = peer.New(&peer.Server{Host: d.host, Config: d.source, Roster: d.membership, Cut: d.partition, Secure: secure}, d.credentials.server)
	calls := &inbound.Calls{
		Limits:          &inbound.Limits{MaxConns: maxOperators, ReceiveBytes: receiveBytes + maxOperators*inbound.ConnBytes, OnEvict: d.countEviction()},
		UnfinishedBytes: messageBytes,
	}
	s.operators = &gracefulStop{done: make(chan struct{}), server: operator.New(&operator.Server{
		Calls:    calls,
		Instance: d.Settings.Instance, Config: d.source, Host: d.host, View: d.membership.View, Peers: d.client, Secure: secure,
		Stopping: d.stop.late, Ended: d.stop.ended,
	}, d.credentials.server)}
	for _, l := range []struct {
		name, address string
		serve         func(net.Listener) error
	}{
		{"callers", d.Settings.Listen.Callers, s.serveCallers},
		{"peers", d.Settings.Listen.Peers, s.peers.Serve},
		{"operators", d.Settings.Listen.Operators, func(l net.Listener) error { return s.operators.server.Serve(calls.Listener(l)) }},
	} {
		if err := s.start(ctx, l.name, l.address, l.serve); err != nil {
			return err
		}
	}
	if d.Settings.TestPort == "" {
		return nil
	}
	s.test = &http.Server{Handler: testHandler(d.partition), ReadHeaderTimeout: time.Second}
	return s.start(ctx, "test port", d.Settings.TestPort, s.test.Serve)
}

// start listens on an address and serves it. It retries until it can listen or
// ctx is done, whose error it returns.
func (s *servers) start(ctx context.Context, name, address string, serve func(net.Listener) error) error {
	a := &listen.Address{Name: name, Address: address, Log: s.daemon.Log}
	l, err := a.Listen(ctx)
	if err != nil {
		return err
	}
	s.wait.Add(1)
	go (&servedAddress{servers: s, address: a, serve: serve, listener: l}).run(ctx)
	return nil
}

// servedAddress serves one address.
type servedAddress struct {
	servers  *servers
	address  *listen.Address
	serve    func(net.Listener) error
	listener net.Listener
}

func (a *servedAddress) run(ctx context.Context) {
	defer a.servers.wait.Done()
	a.address.Serve(ctx, a.listener, a.serve)
}

func (d *Daemon) callerServer() *caller.Server {
	l := d.Settings.Limits
	return &caller.Server{
		Instance: d.Settings.Instance, Domain: d.Settings.Domain,
		Router: d.host, Config: d.source.Snapshot, Ready: d.notReadyReason, Homes: d.host,
		MaxBody: l.BodyBytes, MaxStreams: l.Streams, BodyTimeout: time.Duration(l.CallSeconds) * time.Second, Stop: d.stop.callers(),
		Bodies:  &membudget.Budget{MaxBytes: l.Bodies(), Metrics: d.scope.SubScope("caller_bodies")},
		Metrics: d.scope, MetricsPage: d.metricsHandler, Log: d.Log,
	}
}

const (
	// receiveBytes is what may wait unread for callers, and for operators, beyond the smallest receive buffer of each.
	receiveBytes = 32 << 20
	// messageBytes is what may arrive of operators' messages that are not whole, of which one has 4 MB at the most.
	messageBytes = 32 << 20
	// maxOperators is the number of connections of operators.
	maxOperators = 256
)

// callerBounds returns the bounds of the connections of callers, of which half of the descriptors are kept for endpoints, peers and files.
func (d *Daemon) callerBounds() *inbound.Limits {
	most := d.Settings.Limits.Connections
	var files syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files); err == nil {
		most = int(min(uint64(most), files.Cur/2))
	}
	return &inbound.Limits{MaxConns: most, ReceiveBytes: receiveBytes + int64(most)*inbound.ConnBytes, OnEvict: d.countEviction()}
}

// countEviction returns the function that counts connections which give way.
func (d *Daemon) countEviction() func() {
	evicted := d.scope.Counter("connections_evicted")
	return func() { evicted.Inc(1) }
}

// notReadyReason returns why load balancers should not send requests to this
// instance, or "" if it is ready.
func (d *Daemon) notReadyReason() string {
	switch {
	case d.stopping.get():
		return "stopping"
	case !d.source.Learned():
		return "the latest configuration is not known yet"
	case d.withdrawn():
		return "drained by an operator"
	case time.Since(d.started) < propagationDelay || d.domainUnderReplicated():
		return "runs of the failure domain are being replicated"
	}
	return ""
}

func (d *Daemon) withdrawn() bool {
	s := d.source.Snapshot()
	_, instance := s.Withdrawn(d.Settings.Instance)
	_, domain := s.Withdrawn(d.Settings.Domain)
	return instance || domain
}

// localHeartbeat returns the heartbeat of this instance.
func (d *Daemon) localHeartbeat() roster.Heartbeat {
	owned, _, underReplicated := d.host.RunCounts()
	b := roster.NewHeartbeat(d.Settings.Instance, d.incarnation, d.host.StorageIncarnation)
	leaving := d.stopping.get() || d.withdrawn()
	return b.WithStatus(leaving, d.source.Learned(), d.source.Snapshot().Version(), uint64(owned), uint64(underReplicated))
}

// failureDomains returns the failure domains with their numbers of instances
// and of disks.
func failureDomains(peers []roster.Peer) []control.FailureDomain {
	var out []control.FailureDomain
	for _, domain := range domainNames(peers) {
		instances, disks := 0, 0
		for _, p := range peers {
			if p.Domain() != domain {
				continue
			}
			instances++
			if p.Disk() {
				disks++
			}
		}
		out = append(out, control.NewFailureDomain(domain, instances, disks))
	}
	return out
}

func domainNames(peers []roster.Peer) []string {
	var out []string
	seen := map[string]bool{}
	for _, p := range peers {
		if !seen[p.Domain()] {
			seen[p.Domain()] = true
			out = append(out, p.Domain())
		}
	}
	return out
}

// backends returns the clients for engines and services.
func backends(scope tally.Scope) *backend.Set {
	memory := &membudget.Budget{MaxBytes: maxAnswersBytes, Metrics: scope}
	transport := http1.NewTransport(&http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: maxHeadBytes,
	})
	// The host logs why an attempt failed.
	transport.Metrics = scope
	h := &http.Client{Transport: transport}
	return &backend.Set{
		Engine:  &engine.Client{HTTP: h, Stall: streamStallTimeout, MaxAnswer: maxAnswerBytes, Memory: memory},
		Service: &service.Client{HTTP: h, MaxAnswer: maxAnswerBytes, Memory: memory},
	}
}
