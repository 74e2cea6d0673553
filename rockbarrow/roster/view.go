// SPDX-License-Identifier: MIT

package roster

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"rockbarrow.dev/rockbarrow/journal"
)

// State is the membership state of an instance.
type State int

// The states of an instance.
const (
	// Unknown means that no heartbeat has arrived since this process started.
	Unknown State = iota
	// Live means that the heartbeat counter increases.
	Live
	// Leaving means that the instance runs but accepts no new work.
	Leaving
	// Dead means that the heartbeat counter has not increased within the timeout.
	Dead
)

// String returns the state's name as used in the project's formats.
func (s State) String() string {
	return [...]string{"unheard", "live", "leaving", "dead"}[s]
}

// Peer is an instance as configured in the settings.
type Peer struct {
	instance string
	domain   string
	address  string
	disk     bool
	control  bool
}

// NewPeer returns a peer. The address is the host:port of its peer protocol.
func NewPeer(instance, domain, address string, disk, control bool) Peer {
	return Peer{instance: instance, domain: domain, address: address, disk: disk, control: control}
}

// Instance returns the instance's name.
func (p Peer) Instance() string { return p.instance }

// Domain returns the instance's failure domain.
func (p Peer) Domain() string { return p.domain }

// Address returns the host:port of the peer protocol.
func (p Peer) Address() string { return p.address }

// Disk reports whether the instance stores journals on disk.
func (p Peer) Disk() bool { return p.disk }

// Control reports whether the instance votes on the configuration.
func (p Peer) Control() bool { return p.control }

// Instance is a peer together with its membership state.
type Instance struct {
	Peer
	state     State
	heartbeat Heartbeat
	lastHeard time.Time
}

// State returns the membership state.
func (i Instance) State() State { return i.state }

// Heartbeat returns the newest heartbeat of the instance as of the last change
// of the view. A counter that increases does not change the view.
func (i Instance) Heartbeat() Heartbeat { return i.heartbeat }

// LastHeard returns when the heartbeat counter last increased, as of the last
// change of the view.
func (i Instance) LastHeard() time.Time { return i.lastHeard }

// Usable reports whether the instance accepts new work.
func (i Instance) Usable() bool { return i.state == Live }

// Member returns the journal member of the instance's current incarnation. The
// incarnation is 0 until the first heartbeat.
func (i Instance) Member() journal.Member {
	if i.disk && i.heartbeat.storageIncarnation != 0 {
		return journal.NewMember(i.instance, i.heartbeat.storageIncarnation).WithDisk()
	}
	return journal.NewMember(i.instance, i.heartbeat.incarnation)
}

// View is an immutable snapshot of the membership, ordered by name.
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

// IsCurrentMember reports whether a member belongs to the current incarnation of
// an instance that is not dead.
func (v *View) IsCurrentMember(m journal.Member) bool {
	i, ok := v.Find(m.Instance())
	if !ok || i.state == Dead {
		return false
	}
	return i.state == Unknown || i.Member().Is(m)
}

// IsWriterAlive reports whether the process that took a ballot is considered to
// be still running.
func (v *View) IsWriterAlive(b journal.Ballot) bool {
	i, ok := v.Find(b.Instance())
	if !ok || i.state == Dead {
		return false
	}
	return i.state == Unknown || i.heartbeat.incarnation == b.Incarnation()
}

// RankByKey returns the instances of a failure domain, or of all other failure
// domains if inside is false, ordered by rendezvous hashing of a key.
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

// Heartbeat is the status that an instance gossips about itself.
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

// NewHeartbeat returns a heartbeat of an incarnation of an instance. The storage
// incarnation is 0 without a disk.
func NewHeartbeat(instance string, incarnation, storageIncarnation uint64) Heartbeat {
	return Heartbeat{instance: instance, incarnation: incarnation, storageIncarnation: storageIncarnation}
}

// WithCounter returns a copy with the counter set.
func (b Heartbeat) WithCounter(counter uint64) Heartbeat { b.counter = counter; return b }

// WithStatus returns a copy with the status fields set.
func (b Heartbeat) WithStatus(leaving, learned bool, configVersion, ownedRuns, underReplicatedRuns uint64) Heartbeat {
	b.leaving = leaving
	b.learned = learned
	b.configVersion = configVersion
	b.ownedRuns = ownedRuns
	b.underReplicatedRuns = underReplicatedRuns
	return b
}

// Instance returns the instance's name.
func (b Heartbeat) Instance() string { return b.instance }

// Incarnation returns the number that identifies the process since its start.
func (b Heartbeat) Incarnation() uint64 { return b.incarnation }

// Counter returns the counter, which increases with each heartbeat.
func (b Heartbeat) Counter() uint64 { return b.counter }

// Leaving reports whether the instance is shutting down or drained.
func (b Heartbeat) Leaving() bool { return b.leaving }

// Learned reports whether the instance has the latest configuration.
func (b Heartbeat) Learned() bool { return b.learned }

// ConfigVersion returns the version of the active configuration.
func (b Heartbeat) ConfigVersion() uint64 { return b.configVersion }

// OwnedRuns returns the number of runs that the instance owns.
func (b Heartbeat) OwnedRuns() uint64 { return b.ownedRuns }

// UnderReplicatedRuns returns the number of runs that lack replicas.
func (b Heartbeat) UnderReplicatedRuns() uint64 { return b.underReplicatedRuns }

// StorageIncarnation returns the number that identifies the disk's contents, or
// 0 without a disk.
func (b Heartbeat) StorageIncarnation() uint64 { return b.storageIncarnation }

// supersedes reports whether b is newer than another heartbeat of the instance.
func (b Heartbeat) supersedes(o Heartbeat) bool {
	return cmp.Or(cmp.Compare(b.incarnation, o.incarnation), cmp.Compare(b.counter, o.counter)) > 0
}
