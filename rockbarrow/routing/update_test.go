// SPDX-License-Identifier: MIT

package routing

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/fleetpb"
)

// mutateDocument returns a copy of a document with random changes.
func mutateDocument(r *rand.Rand, d *fleetpb.Document) *fleetpb.Document {
	out := proto.Clone(d).(*fleetpb.Document)
	out.Version++
	out.Limits = &fleetpb.Limits{BodyBytes: r.Uint32N(3)}
	for range r.IntN(4) {
		out.Services = append(out.Services, &fleetpb.Service{Name: fmt.Sprintf("s%d", len(out.Services)), Slots: r.Uint32N(9)})
	}
	for range r.IntN(30) {
		n := r.IntN(1000)
		key := fmt.Sprintf("/%x/", n/5)
		if !slices.ContainsFunc(out.Routes, func(o *fleetpb.Route) bool { return o.GetHost() == "Added" && o.GetPrefix() == key }) {
			out.Routes = append(out.Routes, newRoute(fmt.Sprintf("a%d", n), "Added", key))
		}
	}
	for range r.IntN(5) {
		if len(out.Routes) > 0 {
			i := r.IntN(len(out.Routes))
			out.Routes = slices.Delete(out.Routes, i, i+1)
		}
	}
	for range r.IntN(5) {
		if len(out.Routes) > 0 {
			out.Routes[r.IntN(len(out.Routes))].TimeoutMs = 1 + r.Uint32N(1000)
		}
	}
	if len(out.Services) > 1 && r.IntN(3) == 0 {
		out.Services = out.Services[:len(out.Services)-1]
	}
	return out
}

// applyParts encodes and decodes the parts of a change and applies them to a table.
func applyParts(t *testing.T, held *Table, c *fleetpb.TableChange) (*Table, error) {
	t.Helper()
	u, err := held.BeginUpdate(c.GetBase())
	if err != nil {
		return nil, err
	}
	for _, p := range SplitChange(c) {
		b, err := proto.Marshal(p)
		if err != nil {
			t.Fatal(err)
		}
		part := &fleetpb.TableChange{}
		if err := proto.Unmarshal(b, part); err != nil {
			t.Fatal(err)
		}
		out, err := u.AddPart(part)
		if err != nil || out != nil {
			return out, err
		}
	}
	return nil, errors.New("no part completed the change")
}

// applyDocument returns the next tables of a control instance and of an entry instance that receives its change.
func applyDocument(t *testing.T, seed uint64, control, entry *Table, d *fleetpb.Document) (next, followed *Table) {
	t.Helper()
	next, change, err := control.ApplyDocument(d)
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	if followed, err = applyParts(t, entry, change); err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	return next, followed
}

// matchByScan finds a request's route by scanning all routes.
func matchByScan(d *fleetpb.Document, host, path string) *fleetpb.Route {
	find := func(host string) (best *fleetpb.Route, known bool) {
		for _, r := range d.GetRoutes() {
			if strings.ToLower(r.GetHost()) != host {
				continue
			}
			known = true
			if strings.HasPrefix(path, r.GetPrefix()) && (best == nil || len(r.GetPrefix()) > len(best.GetPrefix())) {
				best = r
			}
		}
		return best, known
	}
	host = strings.ToLower(host)
	if r, known := find(host); known {
		return r
	}
	name, _, _ := strings.Cut(host, ":")
	r, _ := find(name)
	return r
}

// TestChangesLeadToTheSameTable guards against tables that diverge from the
// configuration when changes are applied.
func TestChangesLeadToTheSameTable(t *testing.T) {
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := newDocument(r.IntN(40), 3)
		control, err := New(d)
		if err != nil {
			t.Fatal(err)
		}
		whole, err := control.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		entry, err := applyParts(t, nil, whole)
		if err != nil {
			t.Fatal(err)
		}
		for range 15 {
			d = mutateDocument(r, d)
			before := entry.Digest()
			next, followed := applyDocument(t, seed, control, entry, d)
			if !bytes.Equal(entry.Digest(), before) || entry.Version() == followed.Version() {
				t.Fatal("the base table was modified")
			}
			fresh, err := New(d)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(followed.Digest(), fresh.Digest()) || !bytes.Equal(followed.Digest(), next.Digest()) {
				t.Fatalf("seed %d: tables differ at version %d", seed, d.GetVersion())
			}
			for _, o := range append(d.GetRoutes(), newRoute("none", "none.example:80", "/x/")) {
				for _, host := range []string{o.GetHost(), o.GetHost() + ":80"} {
					path := o.GetPrefix() + "1/"
					got, _ := followed.Match(host, path)
					if want := matchByScan(d, host, path); !proto.Equal(got, want) {
						t.Fatalf("seed %d: %s%s matches %v, want %v", seed, host, path, got, want)
					}
				}
			}
			for _, s := range d.GetServices() {
				if !proto.Equal(followed.Service(s.GetName()), fresh.Service(s.GetName())) {
					t.Fatalf("seed %d: service %s differs", seed, s.GetName())
				}
			}
			control, entry = next, followed
		}
	}
}

// TestALargeChangeComesInParts guards against parts that are too large for a slow link.
func TestALargeChangeComesInParts(t *testing.T) {
	table, change, err := (*Table)(nil).ApplyDocument(newDocument(5000, 1))
	if err != nil {
		t.Fatal(err)
	}
	parts := SplitChange(change)
	if len(parts) < 4 {
		t.Errorf("5,000 routes were split into %d parts", len(parts))
	}
	for i, p := range parts {
		if proto.Size(p) > 2*targetPartBytes {
			t.Errorf("part %d has %d bytes", i, proto.Size(p))
		}
		if last := len(p.GetDigest()) > 0; last != (i == len(parts)-1) {
			t.Errorf("part %d has a digest: %v", i, last)
		}
	}
	if got, err := applyParts(t, nil, change); err != nil || !bytes.Equal(got.Digest(), table.Digest()) {
		t.Errorf("another table came out: %v", err)
	}
}

// TestAWrongChangeIsNoticed guards against applying a change to the wrong table or incompletely.
func TestAWrongChangeIsNoticed(t *testing.T) {
	first, err := New(newDocument(10, 2))
	if err != nil {
		t.Fatal(err)
	}
	d := newDocument(11, 2)
	d.Version = 2
	_, change, err := first.ApplyDocument(d)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("another base", func(t *testing.T) {
		var wrong *BaseError
		if _, err := applyParts(t, nil, change); !errors.As(err, &wrong) {
			t.Errorf("%v, want a BaseError", err)
		}
	})
	t.Run("the base changes between parts", func(t *testing.T) {
		u, err := first.BeginUpdate(change.GetBase())
		if err != nil {
			t.Fatal(err)
		}
		var wrong *BaseError
		if _, err := u.AddPart(&fleetpb.TableChange{Base: []byte("x")}); !errors.As(err, &wrong) {
			t.Errorf("%v, want a BaseError", err)
		}
	})
	t.Run("a route is missing", func(t *testing.T) {
		short := proto.Clone(change).(*fleetpb.TableChange)
		short.Routes = short.Routes[:len(short.Routes)-1]
		var wrong *DigestError
		if _, err := applyParts(t, first, short); !errors.As(err, &wrong) {
			t.Errorf("%v, want a DigestError", err)
		}
	})
	t.Run("a route cannot be decoded", func(t *testing.T) {
		torn := proto.Clone(change).(*fleetpb.TableChange)
		torn.Routes[0] = []byte{0xff}
		if _, err := applyParts(t, first, torn); err == nil {
			t.Error("the change was applied")
		}
	})
}

func TestInvalidDocuments(t *testing.T) {
	tests := []struct {
		name string
		edit func(d *fleetpb.Document)
	}{
		{"two routes of one host and prefix", func(d *fleetpb.Document) { d.Routes[1].Host, d.Routes[1].Prefix = "H0.EXAMPLE", d.Routes[0].Prefix }},
		{"no host", func(d *fleetpb.Document) { d.Routes[0].Host = "" }},
		{"a zero byte in the host", func(d *fleetpb.Document) { d.Routes[0].Host = "h\x00" }},
		{"no slash", func(d *fleetpb.Document) { d.Routes[0].Prefix = "x" }},
		{"no timeout", func(d *fleetpb.Document) { d.Routes[0].TimeoutMs = 0 }},
		{"no kind", func(d *fleetpb.Document) { d.Routes[0].Kind = 0 }},
		{"an unknown service", func(d *fleetpb.Document) { d.Routes[0].Shares[0].Service = "none" }},
		{"no weight", func(d *fleetpb.Document) { d.Routes[0].Shares[0].Weight = 0 }},
		{"a service without a name", func(d *fleetpb.Document) { d.Services[0].Name = "" }},
		{"a service that is still used", func(d *fleetpb.Document) { d.Services = nil }},
	}
	before, err := New(newDocument(4, 1))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := newDocument(4, 1)
			test.edit(d)
			var invalid *InvalidError
			if _, err := New(d); !errors.As(err, &invalid) {
				t.Errorf("New: %v, want an InvalidError", err)
			}
			if _, _, err := before.ApplyDocument(d); !errors.As(err, &invalid) {
				t.Errorf("ApplyDocument: %v, want an InvalidError", err)
			}
		})
	}
}

// newTableWithChange returns a table of n routes on the given number of hosts, and
// the change that adds one route.
func newTableWithChange(tb testing.TB, n, hosts int) (*Table, *fleetpb.TableChange) {
	tb.Helper()
	table, err := New(newDocument(n, hosts))
	if err != nil {
		tb.Fatal(err)
	}
	d := newDocument(n+1, hosts)
	d.Version = 2
	_, change, err := table.ApplyDocument(d)
	if err != nil {
		tb.Fatal(err)
	}
	return table, change
}

// TestAChangeOfOneRouteCostsTheSameAmongMany guards against updates whose cost grows
// with the configuration. It counts allocations, which do not depend on the machine.
func TestAChangeOfOneRouteCostsTheSameAmongMany(t *testing.T) {
	allocations := func(n, hosts int) float64 {
		table, change := newTableWithChange(t, n, hosts)
		return testing.AllocsPerRun(10, func() {
			u, err := table.BeginUpdate(change.GetBase())
			if err != nil {
				t.Fatal(err)
			}
			if out, err := u.AddPart(change); err != nil || out == nil {
				t.Fatal(err)
			}
		})
	}
	for _, hosts := range []int{1, 1000} {
		// most allows for additional levels of the trees.
		const most = 2
		if few, many := allocations(1000, hosts), allocations(10000, hosts); many > most*few {
			t.Errorf("on %d hosts: %.0f allocations among 10,000 routes, %.0f among 1,000", hosts, many, few)
		}
	}
}

func FuzzAdd(f *testing.F) {
	table, change := newTableWithChange(f, 20, 2)
	b, err := proto.Marshal(change)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add(b[:len(b)-3])
	f.Fuzz(func(t *testing.T, b []byte) {
		c := &fleetpb.TableChange{}
		if proto.Unmarshal(b, c) != nil {
			return
		}
		before := table.Digest()
		u, err := table.BeginUpdate(c.GetBase())
		if err != nil {
			return
		}
		out, err := u.AddPart(c)
		if err == nil && out != nil && !bytes.Equal(out.Digest(), c.GetDigest()) {
			t.Error("a table with another digest was accepted")
		}
		if !bytes.Equal(table.Digest(), before) {
			t.Error("the base table was modified")
		}
	})
}

// routeCounts are the numbers of routes in benchmarks, on one host and on one host each.
var routeCounts = []int{1000, 10000, 100000}

func forEachRouteCount(b *testing.B, f func(b *testing.B, n, hosts int)) {
	for _, n := range routeCounts {
		b.Run(fmt.Sprintf("routes=%d/hosts=1", n), func(b *testing.B) { f(b, n, 1) })
		b.Run(fmt.Sprintf("routes=%d/hosts=%d", n, n), func(b *testing.B) { f(b, n, n) })
	}
}

// BenchmarkNew measures indexing a whole configuration.
func BenchmarkNew(b *testing.B) {
	forEachRouteCount(b, func(b *testing.B, n, hosts int) {
		d := newDocument(n, hosts)
		for b.Loop() {
			if _, err := New(d); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkNext measures applying a whole configuration with one more route.
func BenchmarkNext(b *testing.B) {
	forEachRouteCount(b, func(b *testing.B, n, hosts int) {
		table, err := New(newDocument(n, hosts))
		if err != nil {
			b.Fatal(err)
		}
		d := newDocument(n+1, hosts)
		for b.Loop() {
			if _, _, err := table.ApplyDocument(d); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkChange measures applying a change that adds one route.
func BenchmarkChange(b *testing.B) {
	forEachRouteCount(b, func(b *testing.B, n, hosts int) {
		table, change := newTableWithChange(b, n, hosts)
		for b.Loop() {
			u, err := table.BeginUpdate(change.GetBase())
			if err != nil {
				b.Fatal(err)
			}
			if out, err := u.AddPart(change); err != nil || out == nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMatch measures the lookup of a request's route.
func BenchmarkMatch(b *testing.B) {
	forEachRouteCount(b, func(b *testing.B, n, hosts int) {
		table, err := New(newDocument(n, hosts))
		if err != nil {
			b.Fatal(err)
		}
		b.ReportAllocs()
		for b.Loop() {
			if _, ok := table.Match("h0.example", "/0/1"); !ok {
				b.Fatal("no route")
			}
		}
	})
}
