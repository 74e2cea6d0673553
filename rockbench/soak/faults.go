// SPDX-License-Identifier: MIT

package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"rockbarrow.dev/platform/standin"
	"rockbarrow.dev/rockbarrow/durable/powerloss"
	"rockbarrow.dev/rockbarrow/wait"
)

// fault is one disturbance: it begins, lasts and ends.
type fault struct {
	name string
	run  func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration)
}

// lossWait is how long a wiped instance gets to copy what it lost before the next
// disk may be lost. A store here copies within about a second of its start; the
// duties of control look four times a second.
const lossWait = 5 * time.Second

// faults are all kinds but those that lose a disk.
var faults = []fault{
	{"pause a store", pauseOne(func(f *fleet) []*instance { return f.stores })},
	{"pause a control instance", pauseOne(func(f *fleet) []*instance { return f.controls() })},
	{"pause an entry", pauseOne(func(f *fleet) []*instance { return f.entries })},
	{"kill a store", killOne(func(f *fleet) []*instance { return f.stores })},
	{"kill a control instance", killOne(func(f *fleet) []*instance { return f.controls() })},
	{"kill an entry", killOne(func(f *fleet) []*instance { return f.entries })},
	{"stop an entry", stopOne(func(f *fleet) []*instance { return f.entries })},
	{"stop a store", stopOne(func(f *fleet) []*instance { return f.stores })},
	{"slow links", link(delay)},
	{"silent links", link(silence)},
	{"answers cut off", link(oneWay)},
	{"reset links", link(reset)},
	{"control is cut into halves", cutControl},
	{"control and stores are cut into halves", cutDisks},
	{"lost answers", loseAnswers},
	{"an endpoint is replaced", replaceEndpoint},
	{"an endpoint starts again under its id", restartEndpoint},
	{"an endpoint starts again and again at its address", bounceEndpoint},
	{"an endpoint ends by chance", crashEndpoint},
	{"another writer's entries are in the list", foreignList},
	{"new settings", hangUp},
	{"settings are half written", tornSettings},
	{"nobody reads the logs", dropReaders},
	{"a store's disk is full", fullDisk(func(f *fleet) []*instance { return f.stores })},
	{"a control instance's disk is full", fullDisk(func(f *fleet) []*instance { return f.controls() })},
	{"a process starts while its addresses are held", heldAddresses},
	{"all control instances are killed", endAll(func(f *fleet) []*instance { return f.controls() }, killed)},
	{"all instances of a failure domain are killed", endDomain},
	{"power of all control instances is lost", endAll(func(f *fleet) []*instance { return f.controls() }, powerLost)},
	{"power of a failure domain is lost", losePowerOfDomain},
	{"power is lost everywhere", endAll((*fleet).all, powerLost)},
}

// cuts are the kinds that cut control into halves.
var cuts = []fault{
	{"control is cut into halves", cutControl},
	{"control and stores are cut into halves", cutDisks},
}

// calmFaults concern neither control nor stores.
var calmFaults = []fault{
	{"pause an entry", pauseOne(func(f *fleet) []*instance { return f.entries })},
	{"kill an entry", killOne(func(f *fleet) []*instance { return f.entries })},
	{"lost answers", loseAnswers},
	{"an endpoint is replaced", replaceEndpoint},
	{"another writer's entries are in the list", foreignList},
	{"new settings", hangUp},
}

// diskFaults lose a disk. Two never come at once, as one loss is tolerated.
var diskFaults = []fault{
	{"wipe a store", wipeOne(func(f *fleet) []*instance { return f.stores })},
	{"wipe a control instance", wipeOne(func(f *fleet) []*instance { return f.controls() })},
	{"wipe a store while all others lose power", wipeAmidLoss(func(f *fleet) []*instance { return f.stores })},
	{"wipe a control instance while all others lose power", wipeAmidLoss(func(f *fleet) []*instance { return f.controls() })},
}

type choose func(f *fleet) []*instance

// claim draws an instance that no other fault has, or returns nil.
func claim(r *rand.Rand, list []*instance) *instance {
	in := list[r.IntN(len(list))]
	if !in.claimed.TryLock() {
		return nil
	}
	return in
}

func pauseOne(from choose) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, from(f))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		in.signal(syscall.SIGSTOP)
		wait.For(ctx, last)
		in.signal(syscall.SIGCONT)
	}
}

func killOne(from choose) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, from(f))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		in.stop(syscall.SIGKILL)
		wait.For(ctx, last)
		f.restart(in)
	}
}

func stopOne(from choose) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		list := from(f)
		in := list[r.IntN(len(list))]
		if !in.claimed.TryLockPlanned() {
			return
		}
		defer in.claimed.Unlock()
		(&plannedStop{fleet: f, instance: in}).end()
		wait.For(ctx, last)
		f.restart(in)
	}
}

func wipeOne(from choose) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, from(f))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		loseDisk(ctx, f, in, last)
	}
}

func loseDisk(ctx context.Context, f *fleet, in *instance, last time.Duration) {
	in.stop(syscall.SIGKILL)
	if err := in.wipe(); err != nil {
		f.ledger.AddViolation("%v", err)
	}
	wait.For(ctx, last)
	f.restart(in)
	wait.For(context.WithoutCancel(ctx), lossWait)
}

// wipeAmidLoss loses one disk, and the power of all other instances at that moment.
func wipeAmidLoss(from choose) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, from(f))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		in.expectEnd()
		in.signal(syscall.SIGKILL)
		endAll((*fleet).all, powerLost)(ctx, f, r, last)
		loseDisk(ctx, f, in, 0)
	}
}

// link spoils the way to one instance.
func link(m mode) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return linkOf(m, func(f *fleet) []*instance { return slices.Concat(f.controls(), f.stores) })
}

// linkOf is link for one of some instances.
func linkOf(m mode, from choose) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, from(f))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		in.proxy.set(m)
		wait.For(ctx, last)
		in.proxy.set(pass)
	}
}

func loseAnswers(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	const perThousand = 60
	e := f.endpoint(r)
	e.DropPerMille.Store(perThousand)
	wait.For(ctx, last)
	e.DropPerMille.Store(0)
}

// replaceEndpoint lets one leave after another has come.
func replaceEndpoint(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	f.replacing.Lock()
	defer f.replacing.Unlock()
	old := f.take(r, phaseLeaving)
	if old == nil {
		return
	}
	if _, err := f.addEndpoint(old.Service, old.Domain); err != nil {
		f.ledger.AddViolation("%v", err)
		return
	}
	leave(ctx, f, old, last)
}

// leave drains an endpoint and takes it off the list.
func leave(ctx context.Context, f *fleet, e *standin.Endpoint, last time.Duration) {
	e.Draining.Store(true)
	wait.For(ctx, last+2*time.Second)
	f.removeEndpoint(e)
	e.Close()
}

// foreignEntries are what other writers may leave in the list of endpoints.
var foreignEntries = []string{
	`null`, `"text"`, `[]`, `{}`, `{"id":7}`, `{"id":"x-1","service":"tool"}`,
	`{"id":"x-2","service":"tool","address":"nowhere","zone":"domain-0","slots":1,"state":"ready"}`,
	`{"id":"x-3","service":"tool","address":"127.0.0.1:1","zone":"domain-0","slots":"many","state":"ready"}`,
	`{"id":"x-4","service":"tool","address":"127.0.0.1:1","zone":"domain-0","slots":1,"state":"resting"}`,
	"\x00\x01\xfe\xff", `nobody`, "{\"id\":\"\x01\x02\xfe\xff\",\"service\":\"\x03\"}", `{"id":"x-6","slots":1e999,"state":"\x"}`,
	`{"id":"x-5","service":"nobody","address":"127.0.0.1:1","zone":"domain-0","slots":1,"state":"ready"}`,
}

func foreignList(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	var entries []json.RawMessage
	for range 1 + r.IntN(4) {
		entries = append(entries, json.RawMessage(foreignEntries[r.IntN(len(foreignEntries))]))
	}
	f.list.SetExtraEntries(entries...)
	wait.For(ctx, last)
	f.list.SetExtraEntries()
}

// mostListDelay bounds the delay of a list that is late: longer than instances wait for it, or not.
const mostListDelay = 1500 * time.Millisecond

// troubleList has the list refused, late, or both.
func troubleList(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	if !f.listed.TryLock() {
		return
	}
	defer f.listed.Unlock()
	status := []int{0, http.StatusTooManyRequests, http.StatusServiceUnavailable}[r.IntN(3)]
	delay := time.Duration(0)
	if status == 0 || r.IntN(2) == 0 {
		delay = time.Duration(r.Int64N(int64(mostListDelay)))
	}
	f.list.SetTrouble(status, delay)
	wait.For(ctx, last)
	f.list.SetTrouble(0, 0)
}

func hangUp(ctx context.Context, f *fleet, _ *rand.Rand, last time.Duration) {
	for _, in := range f.all() {
		in.signal(syscall.SIGHUP)
	}
	wait.For(ctx, last)
}

// tornSettings writes half of the settings of one instance, tells it so, and writes the rest later.
func tornSettings(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	in := claim(r, f.all())
	if in == nil {
		return
	}
	defer in.claimed.Unlock()
	text, err := in.plan.TOML()
	if err == nil {
		err = os.WriteFile(in.file, []byte(text[:r.IntN(len(text))]), 0o600)
	}
	if err != nil {
		f.ledger.AddViolation("%v", err)
		return
	}
	in.signal(syscall.SIGHUP)
	wait.For(ctx, last)
	if err := in.write(); err != nil {
		f.ledger.AddViolation("%v", err)
	}
	in.signal(syscall.SIGHUP)
}

// dropReaders ends what reads the logs of some processes, for as long as these run.
func dropReaders(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	for _, in := range f.all() {
		if r.IntN(2) == 0 {
			in.dropReader()
		}
	}
	wait.For(ctx, last)
}

// fullDisk lets no file of one process grow. Its log, which is no file, goes on.
func fullDisk(from choose) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, from(f))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		if err := in.limitFiles(uint64(r.IntN(64 << 10))); err != nil {
			f.ledger.AddViolation("%v", err)
			return
		}
		wait.For(ctx, last)
		if err := in.limitFiles(unix.RLIM_INFINITY); err != nil {
			f.ledger.AddViolation("%v", err)
		}
	}
}

// slowSync is how long a sync takes on a slow disk.
const slowSync = 50 * time.Millisecond

// stallDisk makes all syncs of one process wait, or each one for some time if that is given.
func stallDisk(from choose, delay time.Duration) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		in := claim(r, from(f))
		if in == nil {
			return
		}
		defer in.claimed.Unlock()
		end, err := powerloss.Stall(in.plan.DataDir, delay)
		if err != nil {
			f.ledger.AddViolation("%v", err)
			return
		}
		wait.For(ctx, last)
		if err := end(); err != nil {
			f.ledger.AddViolation("%v", err)
		}
	}
}

// heldAddresses starts a process again while another one still has its addresses.
func heldAddresses(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	in := claim(r, f.all())
	if in == nil {
		return
	}
	defer in.claimed.Unlock()
	in.stop(syscall.SIGKILL)
	var held []net.Listener
	for _, s := range in.serves() {
		l, err := net.Listen("tcp", s.address)
		if err != nil {
			f.ledger.AddViolation("%s: %v", in.plan.Instance, err)
			continue
		}
		held = append(held, l)
	}
	f.restart(in)
	wait.For(ctx, last/2)
	for _, l := range held {
		l.Close()
	}
}

// ending is how processes end together.
type ending int

const (
	// killed leaves the disks as they are, powerLost what was synced.
	killed ending = iota
	powerLost
)

// endAll ends some processes at one moment and starts them again within a second.
func endAll(from choose, how ending) func(context.Context, *fleet, *rand.Rand, time.Duration) {
	return func(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
		var claimed []*instance
		for _, in := range from(f) {
			if in.claimed.TryLock() {
				defer in.claimed.Unlock()
				claimed = append(claimed, in)
			}
		}
		for _, in := range claimed {
			in.expectEnd()
			in.signal(syscall.SIGKILL)
		}
		for _, in := range claimed {
			in.stop(syscall.SIGKILL)
			if how == powerLost {
				if err := in.losePower(r); err != nil {
					f.ledger.AddViolation("%s: %v", in.plan.Instance, err)
				}
			}
		}
		wait.For(ctx, min(last, time.Second))
		for _, in := range claimed {
			f.restart(in)
		}
	}
}

func endDomain(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	endAll(drawDomain(r), killed)(ctx, f, r, last)
}

func losePowerOfDomain(ctx context.Context, f *fleet, r *rand.Rand, last time.Duration) {
	endAll(drawDomain(r), powerLost)(ctx, f, r, last)
}

// drawDomain chooses all instances of one failure domain.
func drawDomain(r *rand.Rand) choose {
	return func(f *fleet) []*instance {
		domain := f.controls()[r.IntN(len(f.controls()))].plan.FailureDomain
		return slices.DeleteFunc(f.all(), func(in *instance) bool { return in.plan.FailureDomain != domain })
	}
}

func (f *fleet) restart(in *instance) {
	if err := in.start(); err != nil {
		f.ledger.AddViolation("%s was not started again: %v", in.plan.Instance, err)
	}
}

// String names a fault in reports.
func (f fault) String() string { return fmt.Sprintf("%q", f.name) }
