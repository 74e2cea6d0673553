// SPDX-License-Identifier: MIT

package daemon

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	grpccreds "google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"rockbarrow.dev/rockbarrow/config"
	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/disk"
	"rockbarrow.dev/rockbarrow/dispatch"
	"rockbarrow.dev/rockbarrow/gossip"
	"rockbarrow.dev/rockbarrow/host"
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/keys"
	"rockbarrow.dev/rockbarrow/peer"
	"rockbarrow.dev/rockbarrow/placement"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/rockbarrow/settings"
)

// configurationKey is the key under which the store keeps the active
// configuration.
const configurationKey = "configuration"

// stopFlag is a flag that is never cleared once it is set.
type stopFlag struct{ v atomic.Bool }

func (f *stopFlag) set()      { f.v.Store(true) }
func (f *stopFlag) get() bool { return f.v.Load() }

// credentials holds the transport credentials for peers and operators.
type credentials struct {
	server grpccreds.TransportCredentials
	client grpccreds.TransportCredentials
	secure bool
}

// build creates the components in the order of their dependencies.
func (d *Daemon) build() error {
	if err := d.buildMetrics(); err != nil {
		return err
	}
	if err := d.buildCredentials(); err != nil {
		return err
	}
	peers := d.Settings.Roster()
	d.partition = &peer.Cut{}
	d.client = &peer.Client{Instance: d.Settings.Instance, Peers: peers, Credentials: d.credentials.client, Cut: d.partition}
	d.cleanups = append(d.cleanups, d.client.Close)
	d.buildMembership(peers)
	d.buildDispatcher()
	d.buildHost()
	d.buildSource(peers)
	return d.restore()
}

func (d *Daemon) buildMetrics() error {
	// The default registry would allow one instance in a process.
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "rockbarrow",
		Tags:            map[string]string{"instance_name": d.Settings.Instance, "failure_domain": d.Settings.Domain},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: &prometheus.DefaultSanitizerOpts,
	}, time.Second)
	d.scope = scope
	d.metricsHandler = reporter.HTTPHandler()
	d.cleanups = append(d.cleanups, func() { closer.Close() })
	return nil
}

func (d *Daemon) buildCredentials() error {
	t := d.Settings.TLS
	if t.CA == "" {
		d.credentials = credentials{server: insecure.NewCredentials(), client: insecure.NewCredentials()}
		return nil
	}
	files := &keys.Files{CA: t.CA, Cert: t.Cert, Key: t.Key}
	if err := files.Load(); err != nil {
		return err
	}
	d.credentials = credentials{server: files.Server(), client: files.Client(), secure: true}
	return nil
}

func (d *Daemon) buildMembership(peers []roster.Peer) {
	var self roster.Peer
	for _, p := range peers {
		if p.Instance() == d.Settings.Instance {
			self = p
		}
	}
	d.membership = &gossip.Node{
		Table: &roster.Table{
			Self: self, Peers: peers,
			DeadAfter: settings.Milliseconds(d.Settings.Timing.DeadAfterMS),
			Rand:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		},
		Transport: d.client, Interval: settings.Milliseconds(d.Settings.Timing.HeartbeatMS),
		Local: d.localHeartbeat, OnPeerVersion: d.handlePeerVersion, Metrics: d.scope,
	}
	d.membership.Start()
}

func (d *Daemon) handlePeerVersion(instance string, version uint64) {
	d.source.HandlePeerVersion(instance, version)
}

func (d *Daemon) buildDispatcher() {
	p := d.Settings.Placement
	d.dispatcher = &dispatch.Dispatcher{
		Weights:  placement.Weights{Latency: p.LatencyWeight, Cache: p.CacheWeight},
		Policy:   placementPolicy(p.Policy),
		MaxQueue: d.Settings.Limits.Queue,
		MaxWait:  time.Duration(d.Settings.Limits.QueueSeconds) * time.Second,
		Seed:     d.incarnation,
	}
}

func placementPolicy(name string) placement.Policy {
	switch name {
	case "round_robin":
		return placement.RoundRobin
	case "least_loaded":
		return placement.LeastLoaded
	case "sticky":
		return placement.Sticky
	}
	return placement.Cost
}

func (d *Daemon) buildHost() {
	d.host = &host.Host{
		Instance: d.Settings.Instance, Domain: d.Settings.Domain, Incarnation: d.incarnation,
		Peers: d.client, Backends: backends(d.scope), Dispatcher: d.dispatcher,
		View:        d.membership.View,
		Lease:       settings.Milliseconds(d.Settings.Timing.LeaseMS),
		CallTimeout: time.Duration(d.Settings.Limits.CallSeconds) * time.Second,
		Retention:   time.Duration(d.Settings.Timing.RetentionSeconds) * time.Second,
		Log:         d.Log, Metrics: d.scope,
	}
}

func (d *Daemon) buildSource(peers []roster.Peer) {
	d.source = &config.Source{
		Instance: d.Settings.Instance, Domain: d.Settings.Domain, Incarnation: d.incarnation,
		Peers: d.client, FailureDomains: failureDomains(peers), View: d.membership.View,
		PullInterval: settings.Milliseconds(d.Settings.Timing.PullMS),
		PauseLimit:   settings.Milliseconds(d.Settings.Timing.DeadAfterMS) / 2,
		OnChange:     func(s *control.Snapshot) { d.dispatcher.ApplySnapshot(s) },
		Log:          d.Log, Metrics: d.scope,
	}
	d.host.Config = d.source.Snapshot
	d.host.Learned = d.source.Learned
	d.host.ConfigAge = d.source.Age
	d.host.DiskFailed = d.diskFailed
	d.source.DiskFailed = d.diskFailed
}

// diskFailed ends the process, because its replicas can no longer be made
// durable. Other instances take over the runs that it owns.
func (d *Daemon) diskFailed(err error) {
	select {
	case d.failed <- errors.Wrap(err, "daemon: disk failure"):
	default:
	}
}

// restore loads the journals and the configuration from disk, if there is one.
func (d *Daemon) restore() error {
	if d.Settings.DataDir == "" {
		return d.source.Start(nil, nil)
	}
	store, closeStore, err := disk.Open(d.Settings.DataDir, d.incarnation)
	if err != nil {
		return err
	}
	d.cleanups = append(d.cleanups, func() {
		if err := closeStore(); err != nil {
			d.Log.WithError(err).Error("closing the store failed")
		}
	})
	d.host.Store, d.host.StorageIncarnation = store, store.Storage()
	d.source.Store, d.source.StorageIncarnation = store, store.Storage()
	journals, err := store.Load()
	if err != nil {
		return err
	}
	var controlJournal *journal.Replica
	for _, j := range journals {
		if j.Name() == config.JournalName {
			controlJournal = j.Replica()
			continue
		}
		d.host.Restore(j.Name(), j.Replica())
	}
	document, err := store.Get(configurationKey)
	if err != nil {
		return err
	}
	d.Log.WithField("journals", len(journals)).Info("journals restored from disk")
	return d.source.Start(document, controlJournal)
}

// Check returns an error if the data folder cannot be used. It does not open
// it.
func Check(s *settings.Settings) error {
	if s.DataDir == "" {
		return nil
	}
	info, err := os.Stat(s.DataDir)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &settings.FieldError{Key: "data_dir", Expected: err.Error()}
	}
	if !info.IsDir() {
		return &settings.FieldError{Key: "data_dir", Expected: "must be a folder"}
	}
	return nil
}

// testHandler lets a test disconnect this instance from others: POST /cut with
// a JSON list of instances.
func testHandler(cut *peer.Cut) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, r *http.Request) {
		var instances []string
		const maxBody = 1 << 20
		if err := json.NewDecoder(io.LimitReader(r.Body, maxBody)).Decode(&instances); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		cut.Set(instances)
	})
	return mux
}
