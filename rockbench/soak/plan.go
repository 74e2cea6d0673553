// SPDX-License-Identifier: MIT

package soak

import (
	"fmt"
	"net"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"rockbarrow.dev/platform/settings"
	"rockbarrow.dev/platform/standin"
)

// plan gives each instance its address, folder and proxy.
func (f *fleet) plan(binary string, cfg Config) error {
	first, err := freePorts()
	if err != nil {
		return err
	}
	var control []string
	for d := range seeds {
		control = append(control, fmt.Sprintf("%s:%d", ip(d, 1), first+portSpan))
	}
	var domains []string
	for d := range f.domains {
		domains = append(domains, fmt.Sprint("domain-", d))
	}
	add := func(role string, d, n int) (*instance, error) {
		return f.add(binary, settings.FileParams{
			Instance: fmt.Sprintf("%s-%d-%d", role, d, n), FailureDomain: domains[d], FailureDomains: domains, IP: ip(d, n),
			FirstPort: first, LastPort: first + portSpan - 1, Seeds: control, Bootstrap: true,
			ListAddress: f.listens.Addr().String(), FaultTolerance: max(1, cfg.Tolerance), MemoryMB: 256, GraceSeconds: grace,
			RevokeMS: float64(revokeWithin.Milliseconds()), Quota: quotaTerms,
		}, role)
	}
	for i := range max(f.domains, cfg.Control) {
		c, err := add("control", i%f.domains, 1+i/f.domains*extraControl)
		if err != nil {
			return err
		}
		c.plan.OperatorAddress = fmt.Sprintf("%s:%d", c.plan.IP, first+portSpan)
		f.control = append(f.control, c)
	}
	for d := range f.domains {
		for i := range max(1, cfg.StoresEach) {
			n := 2
			if i > 0 {
				n = furtherStores + i
			}
			s, err := add("store", d, n)
			if err != nil {
				return err
			}
			f.stores = append(f.stores, s)
		}
		for i := range cfg.EntriesEach {
			e, err := add("entry", d, 3+i)
			if err != nil {
				return err
			}
			e.plan.DataDir = ""
			if cfg.Callers > 0 && d%2 == 1 {
				e.plan.MemoryMB = smallMB
			}
			e.plan.ConsumerAddress = fmt.Sprintf("%s:%d", e.plan.IP, first+portSpan)
			e.plan.ReadyAddress = fmt.Sprintf("%s:%d", e.plan.IP, first+portSpan+1)
			f.entries = append(f.entries, e)
		}
	}
	if cfg.Operators > 0 || cfg.Small {
		f.limitInstances()
	}
	f.sides.all = slices.Concat(f.control, f.stores)
	f.operator = &standin.Operator{Addresses: f.operators(), Recorder: f.ledger, Secrets: f.customers.held(), Observe: f.operations.Add}
	f.operations.Changes.First, f.operations.Changes.Slow = firstRoute, slowService
	f.history.changes = &f.operations.Changes
	return nil
}

// add gives an instance with some settings its folder and proxy.
func (f *fleet) add(binary string, plan settings.FileParams, role string) (*instance, error) {
	in := &instance{role: role, binary: binary, plan: plan}
	in.plan.DataDir = filepath.Join(f.dir, in.plan.Instance)
	in.onStart = func() { f.tell(event{kind: started, instance: in}) }
	if err := in.open(f.dir); err != nil {
		return nil, err
	}
	var err error
	in.proxy, err = newProxy(in, f.sides)
	return in, errors.Wrap(err, "soak: proxy")
}

// limitInstances gives all instances the settings of a deployment of small machines, where an entry instance runs on one thread. Nothing but
// the instances themselves enforces them.
func (f *fleet) limitInstances() {
	for _, in := range f.all() {
		switch in.role {
		case "entry":
			in.plan.CPUShare, in.plan.MemoryMB, in.plan.MaxFDs = 0.4, 284, 4100
		case "store":
			in.plan.CPUShare, in.plan.MemoryMB, in.plan.MaxFDs = 0.352, 294, 8200
		case "control":
			in.plan.CPUShare, in.plan.MemoryMB, in.plan.MaxFDs = 0.48, 280, 4096
		}
	}
}

func (f *fleet) operators() []string {
	var out []string
	for _, c := range f.controls() {
		out = append(out, c.plan.OperatorAddress)
	}
	return out
}

// ip is the loopback address of an instance.
func ip(domain, n int) string { return fmt.Sprintf("127.%d.0.%d", 10+domain, n) }

// freePorts returns the first of some ports that were free a moment ago.
func freePorts() (int, error) {
	l, err := net.Listen("tcp", ip(0, 1)+":0")
	if err != nil {
		return 0, errors.Wrap(err, "soak: ports")
	}
	defer l.Close()
	const highest = 60_000
	return min(l.Addr().(*net.TCPAddr).Port, highest), nil
}
