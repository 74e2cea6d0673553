// SPDX-License-Identifier: MIT

// Package daemon wires the parts of an instance together and runs them.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
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
	"rockbarrow.dev/rockbarrow/listen"
	"rockbarrow.dev/rockbarrow/operator"
	"rockbarrow.dev/rockbarrow/peer"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/rockbarrow/service"
	"rockbarrow.dev/rockbarrow/settings"
)

const (
	// maxAnswer bounds an answer in bytes.
	maxAnswer = 8 << 20
	// stall is how long an engine's stream may stand still.
	stall = 20 * time.Second
	// watchEvery is the period of polls of engines.
	watchEvery = 500 * time.Millisecond
	// lingerPeriod is how often a stopping instance looks for calls under way.
	lingerPeriod = 50 * time.Millisecond
	// noticePeriod lets the balancer see that the instance is not ready, and the
	// owners of runs that are replicated here begin to replace it.
	noticePeriod = 2500 * time.Millisecond
)

// Daemon is one instance. Set the exported fields before Run.
type Daemon struct {
	Settings *settings.Settings
	Log      *logrus.Entry

	incarnation uint64
	started     time.Time
	scope       tally.Scope
	page        http.Handler
	creds       credentials
	cut         *peer.Cut
	client      *peer.Client
	node        *gossip.Node
	source      *config.Source
	desk        *dispatch.Dispatcher
	host        *host.Host
	cleanUps    []func()
	// failed gets the first error that ends the instance.
	failed chan error
	// stopping is set once, before the first refusal.
	stopping stopFlag
}

// Run serves until ctx ends, and then stops without cutting a call under way.
func (d *Daemon) Run(ctx context.Context) error {
	defer d.cleanUp()
	d.incarnation = uint64(time.Now().UnixNano())
	d.started = time.Now()
	d.failed = make(chan error, 4)
	if err := d.build(); err != nil {
		return err
	}
	return d.serve(ctx)
}

func (d *Daemon) cleanUp() {
	for i := len(d.cleanUps) - 1; i >= 0; i-- {
		d.cleanUps[i]()
	}
}

// servers are the listeners of an instance.
type servers struct {
	daemon    *Daemon
	callers   *http.Server
	peers     *grpc.Server
	operators *grpc.Server
	test      *http.Server
	wait      sync.WaitGroup
}

func (d *Daemon) serve(ctx context.Context) error {
	s := &servers{daemon: d}
	if err := s.listen(ctx); err != nil {
		return err
	}
	loops, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	for _, r := range d.runners() {
		s.wait.Add(1)
		go (&runner{run: r, ctx: loops, wait: &s.wait}).loop()
	}
	d.Log.Info("serving")
	var err error
	select {
	case <-ctx.Done():
		d.drain()
	case err = <-d.failed:
	}
	s.close()
	stopLoops()
	s.wait.Wait()
	d.Log.Info("stopped")
	return err
}

// runner runs one part until its context ends.
type runner struct {
	run  func(context.Context)
	ctx  context.Context
	wait *sync.WaitGroup
}

func (r *runner) loop() {
	defer r.wait.Done()
	r.run(r.ctx)
}

func (d *Daemon) runners() []func(context.Context) {
	out := []func(context.Context){d.node.Run, d.source.Run, d.desk.Run, d.host.Run}
	quick := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: time.Minute}}
	out = append(out, (&engine.Watcher{HTTP: quick, Desk: d.desk, Every: watchEvery, Near: d.Settings.Domain, Log: d.Log}).Run)
	if p := d.Settings.Platform; p.ListURL != "" {
		out = append(out, (&endpointlist.Poller{
			HTTP: quick, URL: p.ListURL, Interval: settings.Milliseconds(p.PollMS), Roster: d.node, Desk: d.desk, Log: d.Log,
		}).Run)
	}
	return out
}

// drain takes nothing new, lets calls under way finish, and waits until the
// runs that were replicated here have their copies elsewhere.
func (d *Daemon) drain() {
	d.stopping.set()
	d.Log.Info("stopping: not ready, finishing calls under way")
	deadline := time.Now().Add(settings.Milliseconds(d.Settings.Timing.DrainMS))
	notBefore := time.Now().Add(noticePeriod)
	for time.Now().Before(deadline) {
		busy := d.host.Stop()
		_, _, exposed := d.host.RunCounts()
		if busy == 0 && exposed == 0 && time.Now().After(notBefore) && !d.neighboursRepair() {
			return
		}
		time.Sleep(lingerPeriod)
	}
	d.Log.WithField("busy", d.host.Stop()).Warn("the time to drain is over")
}

// neighboursRepair reports whether a live instance of the domain owns runs that a
// loss would leave with too few copies.
func (d *Daemon) neighboursRepair() bool {
	for _, i := range d.node.View().Instances() {
		if i.Domain() == d.Settings.Domain && i.Instance() != d.Settings.Instance && i.State() == roster.Live && i.Heartbeat().UnderReplicatedRuns() > 0 {
			return true
		}
	}
	return false
}

func (s *servers) listen(ctx context.Context) error {
	d := s.daemon
	secure := d.creds.secure
	s.callers = &http.Server{Handler: d.callerServer().Handler(), MaxHeaderBytes: d.Settings.Limits.HeaderBytes, ReadHeaderTimeout: 10 * time.Second}
	s.peers = peer.New(&peer.Server{Host: d.host, Config: d.source, Roster: d.node, Cut: d.cut, Secure: secure}, d.creds.server)
	s.operators = operator.New(&operator.Server{
		Instance: d.Settings.Instance, Config: d.source, Host: d.host, View: d.node.View, Peers: d.client, Secure: secure,
	}, d.creds.server)
	for _, l := range []struct {
		name, address string
		serve         func(net.Listener) error
	}{
		{"callers", d.Settings.Listen.Callers, s.callers.Serve},
		{"peers", d.Settings.Listen.Peers, s.peers.Serve},
		{"operators", d.Settings.Listen.Operators, s.operators.Serve},
	} {
		if err := s.start(ctx, l.name, l.address, l.serve); err != nil {
			return err
		}
	}
	if d.Settings.TestPort == "" {
		return nil
	}
	s.test = &http.Server{Handler: testPort(d.cut), ReadHeaderTimeout: time.Second}
	return s.start(ctx, "test port", d.Settings.TestPort, s.test.Serve)
}

// start serves an address once it can be had. Its error is that of ctx.
func (s *servers) start(ctx context.Context, name, address string, serve func(net.Listener) error) error {
	a := &listen.Address{Name: name, Address: address, Log: s.daemon.Log}
	l, err := a.Listen(ctx)
	if err != nil {
		return err
	}
	s.wait.Add(1)
	go (&serving{servers: s, address: a, serve: serve, listener: l}).run(ctx)
	return nil
}

// serving serves one address.
type serving struct {
	servers  *servers
	address  *listen.Address
	serve    func(net.Listener) error
	listener net.Listener
}

func (l *serving) run(ctx context.Context) {
	defer l.servers.wait.Done()
	l.address.Serve(ctx, l.listener, l.serve)
}

// close ends the listeners; callers' answers still being written go out.
func (s *servers) close() {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	if err := s.callers.Shutdown(ctx); err != nil {
		s.callers.Close()
	}
	s.operators.Stop()
	s.peers.Stop()
	if s.test != nil {
		s.test.Close()
	}
}

func (d *Daemon) callerServer() *caller.Server {
	l := d.Settings.Limits
	return &caller.Server{
		Instance: d.Settings.Instance, Domain: d.Settings.Domain,
		Router: d.host, Config: d.source.Snapshot, Ready: d.ready, Homes: d.host,
		MaxBody: l.BodyBytes, MaxStreams: l.Streams,
		Metrics: d.scope, MetricsPage: d.page, Log: d.Log,
	}
}

// ready tells why the balancer should send nothing here, or "".
func (d *Daemon) ready() string {
	switch {
	case d.stopping.get():
		return "stopping"
	case !d.source.Learned():
		return "the newest configuration is not known yet"
	case d.withdrawn():
		return "drained by an operator"
	case time.Since(d.started) < noticePeriod || d.neighboursRepair():
		return "runs of the failure domain are being copied"
	}
	return ""
}

func (d *Daemon) withdrawn() bool {
	s := d.source.Snapshot()
	_, instance := s.Withdrawn(d.Settings.Instance)
	_, domain := s.Withdrawn(d.Settings.Domain)
	return instance || domain
}

// own is the instance's word on itself.
func (d *Daemon) own() roster.Heartbeat {
	owned, _, repairing := d.host.RunCounts()
	b := roster.NewHeartbeat(d.Settings.Instance, d.incarnation, d.host.StorageIncarnation)
	leaving := d.stopping.get() || d.withdrawn()
	return b.WithStatus(leaving, d.source.Learned(), d.source.Snapshot().Version(), uint64(owned), uint64(repairing))
}

// places counts the instances and disks of each failure domain.
func places(peers []roster.Peer) []control.FailureDomain {
	var out []control.FailureDomain
	for _, domain := range domains(peers) {
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

func domains(peers []roster.Peer) []string {
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

// backends returns the adapters for endpoints.
func backends() *backend.Set {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: 2 * time.Second}).DialContext,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     time.Minute,
	}
	h := &http.Client{Transport: transport}
	return &backend.Set{
		Engine:  &engine.Client{HTTP: h, Stall: stall, MaxAnswer: maxAnswer},
		Service: &service.Client{HTTP: h, MaxAnswer: maxAnswer},
	}
}
