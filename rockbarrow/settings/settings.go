// SPDX-License-Identifier: MIT

// Package settings reads and checks the settings file of an instance.
//
// The file is TOML. Every key is checked: an unknown key, a missing field or a
// wrong value is a [FieldError] that names the key and what is expected:
//
//	s, err := settings.Load("instance.toml")
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"regexp"
	"time"

	"github.com/BurntSushi/toml"

	"rockbarrow.dev/rockbarrow/roster"
)

// Settings is what one instance is told.
type Settings struct {
	// Instance is the instance's name, unique everywhere.
	Instance string `toml:"instance"`
	// Domain is the instance's failure domain.
	Domain string `toml:"domain"`
	// DataDir is the folder for journals; empty without a disk.
	DataDir string `toml:"data_dir"`

	Listen    Listen    `toml:"listen"`
	Peers     []Peer    `toml:"peers"`
	TLS       TLS       `toml:"tls"`
	Limits    Limits    `toml:"limits"`
	Timing    Timing    `toml:"timing"`
	Placement Placement `toml:"placement"`
	Platform  Platform  `toml:"platform"`
	Log       Log       `toml:"log"`
	// TestPort lets a test cut this instance's links to peers; never set it in
	// service.
	TestPort string `toml:"test_port"`
}

// Listen is the addresses that the instance serves, each host:port.
type Listen struct {
	Callers   string `toml:"callers"`
	Peers     string `toml:"peers"`
	Operators string `toml:"operators"`
}

// Peer is an instance of the system; the list names this one too.
type Peer struct {
	Instance string `toml:"instance"`
	Domain   string `toml:"domain"`
	Address  string `toml:"address"`
	Disk     bool   `toml:"disk"`
	Control  bool   `toml:"control"`
}

// TLS names PEM files for peers and operators; all empty leaves both in the
// clear.
type TLS struct {
	CA   string `toml:"ca"`
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
}

// Limits bounds what callers may ask.
type Limits struct {
	BodyBytes   int64 `toml:"body_bytes"`
	HeaderBytes int   `toml:"header_bytes"`
	Streams     int   `toml:"streams"`
	// MemoryBytes is the memory that the process may take, zero if nothing limits it.
	MemoryBytes int64 `toml:"memory_bytes"`
	// BodiesBytes limits the bodies and large heads of all requests together, and Connections the connections of callers. Half of the
	// descriptors limit these too.
	// Zero is defaultBodiesBytes, or less where MemoryBytes has no room for that.
	BodiesBytes  int64 `toml:"bodies_bytes"`
	Connections  int   `toml:"connections"`
	Queue        int   `toml:"queue"`
	QueueSeconds int   `toml:"queue_seconds"`
	CallSeconds  int   `toml:"call_seconds"`
}

// Timing is in milliseconds but for RetentionSeconds.
type Timing struct {
	HeartbeatMS      int `toml:"heartbeat_ms"`
	DeadAfterMS      int `toml:"dead_after_ms"`
	LeaseMS          int `toml:"lease_ms"`
	PullMS           int `toml:"pull_ms"`
	DrainMS          int `toml:"drain_ms"`
	RetentionSeconds int `toml:"retention_seconds"`
}

// Placement weighs time against waste.
type Placement struct {
	LatencyWeight float64 `toml:"latency_weight"`
	CacheWeight   float64 `toml:"cache_weight"`
	// Policy is "cost", or a baseline: "round_robin", "least_loaded", "sticky".
	Policy string `toml:"policy"`
}

// Platform is where the platform's list is read.
type Platform struct {
	ListURL string `toml:"list_url"`
	PollMS  int    `toml:"poll_ms"`
}

// Log is what is logged.
type Log struct {
	Level string `toml:"level"`
}

// FieldError says which key is wrong and what is expected.
type FieldError struct {
	// Key is the path of the key in the file.
	Key string
	// Expected tells what a right value looks like.
	Expected string
}

// Error describes the key and the expected value in one line.
func (e *FieldError) Error() string { return fmt.Sprintf("%s: %s", e.Key, e.Expected) }

// bodiesFactor is how many of the largest bodies must have room: two, while the buffer of another one grows.
const bodiesFactor = 4

const (
	// defaultBodiesBytes is limits.bodies_bytes where nothing limits it, and bodiesShare the part of the memory, as 1/n, that it has otherwise.
	defaultBodiesBytes = 64 << 20
	bodiesShare        = 6
	// leastMemory is the smallest limits.memory_bytes, which has room for the largest bodies of the defaults.
	leastMemory = 96 << 20
)

// leastMemoryOf returns the lowest value allowed for limits.memory_bytes, which may be left out.
func leastMemoryOf(value int64) float64 {
	if value == 0 {
		return 0
	}
	return leastMemory
}

// Defaults returns the settings that a file may leave out.
func Defaults() Settings {
	return Settings{
		Limits: Limits{
			BodyBytes:    4 << 20,
			HeaderBytes:  32 << 10,
			Streams:      4096,
			Connections:  16384,
			Queue:        512,
			QueueSeconds: 10,
			CallSeconds:  120,
		},
		Timing: Timing{
			HeartbeatMS:      500,
			DeadAfterMS:      3000,
			LeaseMS:          2000,
			PullMS:           2000,
			DrainMS:          30_000,
			RetentionSeconds: 86_400,
		},
		Placement: Placement{LatencyWeight: 1, CacheWeight: 1, Policy: "cost"},
		Platform:  Platform{PollMS: 1000},
		Log:       Log{Level: "info"},
	}
}

// Load reads and checks a file.
func Load(path string) (*Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(string(b))
}

// Parse checks the text of a settings file.
func Parse(text string) (*Settings, error) {
	s := Defaults()
	md, err := toml.Decode(text, &s)
	if err != nil {
		return nil, &FieldError{Key: "file", Expected: err.Error()}
	}
	if extra := md.Undecoded(); len(extra) > 0 {
		return nil, &FieldError{Key: extra[0].String(), Expected: "is not a known key; see docs/OPERATIONS.md for the keys"}
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	return &s, nil
}

// Bodies returns the limit of bodies in force. Without one of its own it is what MemoryBytes has room for: the process takes up to three
// times as much.
func (l *Limits) Bodies() int64 {
	switch {
	case l.BodiesBytes != 0:
		return l.BodiesBytes
	case l.MemoryBytes == 0:
		return defaultBodiesBytes
	}
	return min(defaultBodiesBytes, l.MemoryBytes/bodiesShare)
}

var nameForm = regexp.MustCompile(`^[a-z0-9][a-z0-9_-]{0,62}$`)

func (s *Settings) check() error {
	for _, f := range []func() error{s.checkNames, s.checkListen, s.checkPeers, s.checkTLS, s.checkNumbers, s.checkWords} {
		if err := f(); err != nil {
			return err
		}
	}
	return nil
}

func (s *Settings) checkNames() error {
	const expected = "must be 1 to 63 of a-z, 0-9, dash and underscore"
	if !nameForm.MatchString(s.Instance) {
		return &FieldError{Key: "instance", Expected: expected}
	}
	if !nameForm.MatchString(s.Domain) {
		return &FieldError{Key: "domain", Expected: expected}
	}
	return nil
}

func (s *Settings) checkListen() error {
	for _, a := range []struct{ key, address string }{
		{"listen.callers", s.Listen.Callers},
		{"listen.peers", s.Listen.Peers},
		{"listen.operators", s.Listen.Operators},
	} {
		if !hostPort(a.address) {
			return &FieldError{Key: a.key, Expected: "must be an address such as 10.0.0.7:8080"}
		}
	}
	if s.TestPort != "" && !hostPort(s.TestPort) {
		return &FieldError{Key: "test_port", Expected: "must be an address such as 127.0.0.1:8099"}
	}
	return nil
}

func hostPort(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || net.ParseIP(host) == nil {
		return false
	}
	_, err = net.LookupPort("tcp", port)
	return err == nil
}

func (s *Settings) checkPeers() error {
	seen := map[string]bool{}
	control := 0
	for i, p := range s.Peers {
		key := fmt.Sprintf("peers[%d]", i)
		switch {
		case !nameForm.MatchString(p.Instance):
			return &FieldError{Key: key + ".instance", Expected: "must be 1 to 63 of a-z, 0-9, dash and underscore"}
		case seen[p.Instance]:
			return &FieldError{Key: key + ".instance", Expected: "must be unique; " + p.Instance + " stands twice"}
		case !nameForm.MatchString(p.Domain):
			return &FieldError{Key: key + ".domain", Expected: "must be 1 to 63 of a-z, 0-9, dash and underscore"}
		case !hostPort(p.Address):
			return &FieldError{Key: key + ".address", Expected: "must be an address such as 10.0.0.7:9090"}
		}
		seen[p.Instance] = true
		if p.Control {
			control++
		}
	}
	if control < 1 || control > 5 {
		return &FieldError{Key: "peers", Expected: fmt.Sprintf("must name 1 to 5 instances with control = true, not %d", control)}
	}
	return s.checkSelf()
}

func (s *Settings) checkSelf() error {
	for i, p := range s.Peers {
		if p.Instance != s.Instance {
			continue
		}
		key := fmt.Sprintf("peers[%d]", i)
		if p.Domain != s.Domain {
			return &FieldError{Key: key + ".domain", Expected: "must be this instance's domain " + s.Domain}
		}
		if p.Disk != (s.DataDir != "") {
			return &FieldError{Key: key + ".disk", Expected: "must be true exactly when data_dir is set"}
		}
		return nil
	}
	return &FieldError{Key: "peers", Expected: "must name this instance " + s.Instance + " too"}
}

func (s *Settings) checkTLS() error {
	t := s.TLS
	for _, f := range []struct{ key, path string }{{"tls.ca", t.CA}, {"tls.cert", t.Cert}, {"tls.key", t.Key}} {
		if f.path == "" && t != (TLS{}) {
			return &FieldError{Key: f.key, Expected: "must name a file, as ca, cert and key go together"}
		}
		if f.path == "" {
			continue
		}
		if _, err := os.Stat(f.path); err != nil {
			return &FieldError{Key: f.key, Expected: "must name a file: " + err.Error()}
		}
	}
	return nil
}

func (s *Settings) checkNumbers() error {
	for _, n := range []struct {
		key             string
		value           float64
		lowest, highest float64
	}{
		{"limits.body_bytes", float64(s.Limits.BodyBytes), 1 << 10, 1 << 30},
		{"limits.header_bytes", float64(s.Limits.HeaderBytes), 1 << 10, 1 << 20},
		{"limits.memory_bytes", float64(s.Limits.MemoryBytes), leastMemoryOf(s.Limits.MemoryBytes), 1 << 50},
		{"limits.bodies_bytes", float64(s.Limits.Bodies()), bodiesFactor * float64(s.Limits.BodyBytes), 1 << 40},
		{"limits.connections", float64(s.Limits.Connections), 1, 1 << 20},
		{"limits.streams", float64(s.Limits.Streams), 1, 1 << 20},
		{"limits.queue", float64(s.Limits.Queue), 1, 1 << 20},
		{"limits.queue_seconds", float64(s.Limits.QueueSeconds), 1, 3600},
		{"limits.call_seconds", float64(s.Limits.CallSeconds), 1, 3600},
		{"timing.heartbeat_ms", float64(s.Timing.HeartbeatMS), 50, 60_000},
		{"timing.dead_after_ms", float64(s.Timing.DeadAfterMS), 200, 600_000},
		{"timing.lease_ms", float64(s.Timing.LeaseMS), 100, 600_000},
		{"timing.pull_ms", float64(s.Timing.PullMS), 100, 60_000},
		{"timing.drain_ms", float64(s.Timing.DrainMS), 0, 3_600_000},
		{"timing.retention_seconds", float64(s.Timing.RetentionSeconds), 1, 31_536_000},
		{"placement.latency_weight", s.Placement.LatencyWeight, 0, 1000},
		{"placement.cache_weight", s.Placement.CacheWeight, 0, 1000},
		{"platform.poll_ms", float64(s.Platform.PollMS), 50, 600_000},
	} {
		if n.value < n.lowest || n.value > n.highest {
			return &FieldError{Key: n.key, Expected: fmt.Sprintf("must be from %g to %g, not %g", n.lowest, n.highest, n.value)}
		}
	}
	if s.Timing.DeadAfterMS < 3*s.Timing.HeartbeatMS {
		return &FieldError{Key: "timing.dead_after_ms", Expected: "must be at least three times timing.heartbeat_ms"}
	}
	return nil
}

func (s *Settings) checkWords() error {
	switch s.Placement.Policy {
	case "cost", "round_robin", "least_loaded", "sticky":
	default:
		return &FieldError{Key: "placement.policy", Expected: `must be "cost", "round_robin", "least_loaded" or "sticky"`}
	}
	switch s.Log.Level {
	case "debug", "info", "warning", "error":
	default:
		return &FieldError{Key: "log.level", Expected: `must be "debug", "info", "warning" or "error"`}
	}
	if s.Platform.ListURL == "" {
		return nil
	}
	if u, err := url.Parse(s.Platform.ListURL); err != nil || u.Host == "" {
		return &FieldError{Key: "platform.list_url", Expected: "must be a URL such as http://10.0.0.2:7000/instances"}
	}
	return nil
}

// Roster returns the peers as the roster takes them.
func (s *Settings) Roster() []roster.Peer {
	out := make([]roster.Peer, 0, len(s.Peers))
	for _, p := range s.Peers {
		out = append(out, roster.NewPeer(p.Instance, p.Domain, p.Address, p.Disk, p.Control))
	}
	return out
}

// Milliseconds returns a setting as a duration.
func Milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }
