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
	// Unheard has not been heard of since this process started.
	Unheard State = iota
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
	state State
	beat  Beat
	heard time.Time
}

// State returns what is believed of the instance.
func (i Instance) State() State { return i.state }

// Beat returns the newest word of the instance.
func (i Instance) Beat() Beat { return i.beat }

// Heard returns when the counter last rose.
func (i Instance) Heard() time.Time { return i.heard }

// Usable reports whether new work may go there.
func (i Instance) Usable() bool { return i.state == Live }

// Member returns the instance's present life as a member of journals. Its
// incarnation is 0 while nothing has been heard.
func (i Instance) Member() journal.Member {
	if i.disk && i.beat.storage != 0 {
		return journal.NewMember(i.instance, i.beat.storage).WithDisk()
	}
	return journal.NewMember(i.instance, i.beat.incarnation)
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

// Holds reports whether a member is the present life of an instance that is
// not dead.
func (v *View) Holds(m journal.Member) bool {
	i, ok := v.Find(m.Instance())
	if !ok || i.state == Dead {
		return false
	}
	return i.state == Unheard || i.Member().Is(m)
}

// Writes reports whether the writer of a ballot is believed to live on in the
// process that took it.
func (v *View) Writes(b journal.Ballot) bool {
	i, ok := v.Find(b.Instance())
	if !ok || i.state == Dead {
		return false
	}
	return i.state == Unheard || i.beat.incarnation == b.Incarnation()
}

// Ranked returns the instances of a failure domain, or of all others when
// inside is false, in the rendezvous order of a key.
func (v *View) Ranked(key, domain string, inside bool) []Instance {
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

// Beat is what one instance tells of itself.
type Beat struct {
	instance      string
	incarnation   uint64
	count         uint64
	leaving       bool
	configVersion uint64
	repairing     uint64
	owned         uint64
	storage       uint64
	learned       bool
}

// NewBeat returns the word of an instance's present life; storage is 0 without
// a disk.
func NewBeat(instance string, incarnation, storage uint64) Beat {
	return Beat{instance: instance, incarnation: incarnation, storage: storage}
}

// At returns the beat with its counter set.
func (b Beat) At(count uint64) Beat { b.count = count; return b }

// With returns the beat with what the instance tells of its work.
func (b Beat) With(leaving, learned bool, configVersion, owned, repairing uint64) Beat {
	b.leaving = leaving
	b.learned = learned
	b.configVersion = configVersion
	b.owned = owned
	b.repairing = repairing
	return b
}

// Instance returns the name.
func (b Beat) Instance() string { return b.instance }

// Incarnation returns the number of the process's life.
func (b Beat) Incarnation() uint64 { return b.incarnation }

// Count returns the counter that the instance raises.
func (b Beat) Count() uint64 { return b.count }

// Leaving reports whether the instance stops.
func (b Beat) Leaving() bool { return b.leaving }

// Learned reports whether the instance knows the newest configuration.
func (b Beat) Learned() bool { return b.learned }

// ConfigVersion returns the version in force there.
func (b Beat) ConfigVersion() uint64 { return b.configVersion }

// Owned returns how many runs the instance owns.
func (b Beat) Owned() uint64 { return b.owned }

// Repairing returns how many of them lack replicas.
func (b Beat) Repairing() uint64 { return b.repairing }

// Storage returns the number of the disk's life, or 0.
func (b Beat) Storage() uint64 { return b.storage }

// newer reports whether b tells more of the same instance than o.
func (b Beat) newer(o Beat) bool {
	return cmp.Or(cmp.Compare(b.incarnation, o.incarnation), cmp.Compare(b.count, o.count)) > 0
}
