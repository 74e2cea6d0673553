// SPDX-License-Identifier: MIT

package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/rockbarrow/journal"
)

// State is what is believed of an instance.
type State int

// The states of an instance.
const (
	// Unknown has not been heard of since this process started.
	Unknown State = iota
	// Live raises its counter.
	Live
	// Leaving lives and takes nothing new.
	Leaving
	// Dead has been silent for too long.
	Dead
)

// String returns the state's name in own formats.
func (s State) String() string {
	return [...]string{"unheard", "live", "leaving", "dead"}[s]
}

// Peer is an instance as the settings name it.
type Peer struct {
	instance string
	domain   string
	address  string
	disk     bool
	control  bool
}

// NewPeer returns a peer; address is host:port of its peer protocol.
func NewPeer(instance, domain, address string, disk, control bool) Peer {
	return Peer{instance: instance, domain: domain, address: address, disk: disk, control: control}
}

// Instance returns the instance's name.
func (p Peer) Instance() string { return p.instance }

// Domain returns the instance's failure domain.
func (p Peer) Domain() string { return p.domain }

// Address returns host:port of the peer protocol.
func (p Peer) Address() string { return p.address }

// Disk reports whether the instance keeps journals on a disk.
func (p Peer) Disk() bool { return p.disk }

// Control reports whether the instance votes on the configuration.
func (p Peer) Control() bool { return p.control }

// Instance is a peer and what is known of it.
type Instance struct {
	Peer
	state     State
	heartbeat Heartbeat
	lastHeard time.Time
}

// State returns what is believed of the instance.
func (i Instance) State() State { return i.state }

// Heartbeat returns the newest word of the instance.
func (i Instance) Heartbeat() Heartbeat { return i.heartbeat }

// LastHeard returns when the counter last rose.
func (i Instance) LastHeard() time.Time { return i.lastHeard }

// Usable reports whether new work may go there.
func (i Instance) Usable() bool { return i.state == Live }

// Member returns the instance's present life as a member of journals. Its
// incarnation is 0 while nothing has been heard.
func (i Instance) Member() journal.Member {
	if i.disk && i.heartbeat.storageIncarnation != 0 {
		return journal.NewMember(i.instance, i.heartbeat.storageIncarnation).WithDisk()
	}
	return journal.NewMember(i.instance, i.heartbeat.incarnation)
}

// View is all instances at one moment, ordered by name. It never changes.
type View struct {
	self      string
	instances []Instance
}

// Self returns the own instance's name.
func (v *View) Self() string { return v.self }

// Instances returns all instances, ordered by name.
func (v *View) Instances() []Instance { return v.instances }

// Find returns an instance by name.
func (v *View) Find(instance string) (Instance, bool) {
	i, ok := slices.BinarySearchFunc(v.instances, instance, func(i Instance, name string) int {
		return cmp.Compare(i.instance, name)
	})
	if !ok {
		return Instance{}, false
	}
	return v.instances[i], true
}

// IsCurrentMember reports whether a member is the present life of an instance that is
// not dead.
func (v *View) IsCurrentMember(m journal.Member) bool {
	i, ok := v.Find(m.Instance())
	if !ok || i.state == Dead {
		return false
	}
	return i.state == Unknown || i.Member().Is(m)
}

// IsWriterAlive reports whether the writer of a ballot is believed to live on in the
// process that took it.
func (v *View) IsWriterAlive(b journal.Ballot) bool {
	i, ok := v.Find(b.Instance())
	if !ok || i.state == Dead {
		return false
	}
	return i.state == Unknown || i.heartbeat.incarnation == b.Incarnation()
}

// RankByKey returns the instances of a failure domain, or of all others when
// inside is false, in the rendezvous order of a key.
func (v *View) RankByKey(key, domain string, inside bool) []Instance {
	type scored struct {
		instance Instance
		score    uint64
	}
	var all []scored
	for _, i := range v.instances {
		if (i.domain == domain) == inside {
			all = append(all, scored{i, xxhash.Sum64String(key + "\x00" + i.instance)})
		}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.instance.instance, b.instance.instance))
	})
	out := make([]Instance, len(all))
	for n, s := range all {
		out[n] = s.instance
	}
	return out
}

// Heartbeat is what one instance tells of itself.
type Heartbeat struct {
	instance            string
	incarnation         uint64
	counter             uint64
	leaving             bool
	configVersion       uint64
	underReplicatedRuns uint64
	ownedRuns           uint64
	storageIncarnation  uint64
	learned             bool
}

// NewHeartbeat returns the word of an instance's present life; storage is 0 without
// a disk.
func NewHeartbeat(instance string, incarnation, storage uint64) Heartbeat {
	return Heartbeat{instance: instance, incarnation: incarnation, storageIncarnation: storage}
}

// WithCounter returns the beat with its counter set.
func (b Heartbeat) WithCounter(count uint64) Heartbeat { b.counter = count; return b }

// WithStatus returns the beat with what the instance tells of its work.
func (b Heartbeat) WithStatus(leaving, learned bool, configVersion, owned, repairing uint64) Heartbeat {
	b.leaving = leaving
	b.learned = learned
	b.configVersion = configVersion
	b.ownedRuns = owned
	b.underReplicatedRuns = repairing
	return b
}

// Instance returns the name.
func (b Heartbeat) Instance() string { return b.instance }

// Incarnation returns the number of the process's life.
func (b Heartbeat) Incarnation() uint64 { return b.incarnation }

// Counter returns the counter that the instance raises.
func (b Heartbeat) Counter() uint64 { return b.counter }

// Leaving reports whether the instance stops.
func (b Heartbeat) Leaving() bool { return b.leaving }

// Learned reports whether the instance knows the newest configuration.
func (b Heartbeat) Learned() bool { return b.learned }

// ConfigVersion returns the version in force there.
func (b Heartbeat) ConfigVersion() uint64 { return b.configVersion }

// OwnedRuns returns how many runs the instance owns.
func (b Heartbeat) OwnedRuns() uint64 { return b.ownedRuns }

// UnderReplicatedRuns returns how many of them lack replicas.
func (b Heartbeat) UnderReplicatedRuns() uint64 { return b.underReplicatedRuns }

// StorageIncarnation returns the number of the disk's life, or 0.
func (b Heartbeat) StorageIncarnation() uint64 { return b.storageIncarnation }

// newer reports whether b tells more of the same instance than o.
func (b Heartbeat) newer(o Heartbeat) bool {
	return cmp.Or(cmp.Compare(b.incarnation, o.incarnation), cmp.Compare(b.counter, o.counter)) > 0
}
