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

// changed returns a document that differs from another one in a few drawn places.
func changed(r *rand.Rand, d *fleetpb.Document) *fleetpb.Document {
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
			out.Routes = append(out.Routes, route(fmt.Sprintf("a%d", n), "Added", key))
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

// apply makes a table of what a change's parts are on the way.
func apply(t *testing.T, held *Table, c *fleetpb.TableChange) (*Table, error) {
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
	return nil, errors.New("the last part is missing")
}

// follow returns the tables of control and of an entry instance that follow under a document.
func follow(t *testing.T, seed uint64, control, entry *Table, d *fleetpb.Document) (next, followed *Table) {
	t.Helper()
	next, change, err := control.ApplyDocument(d)
	if err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	if followed, err = apply(t, entry, change); err != nil {
		t.Fatalf("seed %d: %v", seed, err)
	}
	return next, followed
}

// slow is what a request's route is by the definition: of all routes.
func slow(d *fleetpb.Document, host, path string) *fleetpb.Route {
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

// TestChangesLeadToTheSameTable: a table that follows changes and one made of the whole are
// the same at every version, route by route, also by the definition of a route.
func TestChangesLeadToTheSameTable(t *testing.T) {
	for seed := range uint64(8) {
		r := rand.New(rand.NewPCG(seed, 1))
		d := document(r.IntN(40), 3)
		control, err := New(d)
		if err != nil {
			t.Fatal(err)
		}
		whole, err := control.Snapshot()
		if err != nil {
			t.Fatal(err)
		}
		entry, err := apply(t, nil, whole)
		if err != nil {
			t.Fatal(err)
		}
		for range 15 {
			d = changed(r, d)
			before := entry.Digest()
			next, followed := follow(t, seed, control, entry, d)
			if !bytes.Equal(entry.Digest(), before) || entry.Version() == followed.Version() {
				t.Fatal("the table before was altered")
			}
			fresh, err := New(d)
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(followed.Digest(), fresh.Digest()) || !bytes.Equal(followed.Digest(), next.Digest()) {
				t.Fatalf("seed %d: tables differ at version %d", seed, d.GetVersion())
			}
			for _, o := range append(d.GetRoutes(), route("none", "none.example:80", "/x/")) {
				for _, host := range []string{o.GetHost(), o.GetHost() + ":80"} {
					path := o.GetPrefix() + "1/"
					got, _ := followed.Match(host, path)
					if want := slow(d, host, path); !proto.Equal(got, want) {
						t.Fatalf("seed %d: %s%s leads to %v, want %v", seed, host, path, got, want)
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

// TestALargeChangeComesInParts: no part is much larger than what a slow link carries in
// some ten milliseconds.
func TestALargeChangeComesInParts(t *testing.T) {
	table, change, err := (*Table)(nil).ApplyDocument(document(5000, 1))
	if err != nil {
		t.Fatal(err)
	}
	parts := SplitChange(change)
	if len(parts) < 4 {
		t.Errorf("5,000 routes came in %d parts", len(parts))
	}
	for i, p := range parts {
		if proto.Size(p) > 2*partBytes {
			t.Errorf("part %d has %d bytes", i, proto.Size(p))
		}
		if last := len(p.GetDigest()) > 0; last != (i == len(parts)-1) {
			t.Errorf("part %d is the last one: %v", i, last)
		}
	}
	if got, err := apply(t, nil, change); err != nil || !bytes.Equal(got.Digest(), table.Digest()) {
		t.Errorf("another table came out: %v", err)
	}
}

// TestAWrongChangeIsNoticed: nothing of a change that does not fit comes into force.
func TestAWrongChangeIsNoticed(t *testing.T) {
	first, err := New(document(10, 2))
	if err != nil {
		t.Fatal(err)
	}
	d := document(11, 2)
	d.Version = 2
	_, change, err := first.ApplyDocument(d)
	if err != nil {
		t.Fatal(err)
	}
	t.Run("another base", func(t *testing.T) {
		var wrong *BaseError
		if _, err := apply(t, nil, change); !errors.As(err, &wrong) {
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
		if _, err := apply(t, first, short); !errors.As(err, &wrong) {
			t.Errorf("%v, want a DigestError", err)
		}
	})
	t.Run("a route is not readable", func(t *testing.T) {
		torn := proto.Clone(change).(*fleetpb.TableChange)
		torn.Routes[0] = []byte{0xff}
		if _, err := apply(t, first, torn); err == nil {
			t.Error("taken")
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
	before, err := New(document(4, 1))
	if err != nil {
		t.Fatal(err)
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := document(4, 1)
			test.edit(d)
			var invalid *InvalidError
			if _, err := New(d); !errors.As(err, &invalid) {
				t.Errorf("of nothing: %v, want an InvalidError", err)
			}
			if _, _, err := before.ApplyDocument(d); !errors.As(err, &invalid) {
				t.Errorf("of the table before: %v, want an InvalidError", err)
			}
		})
	}
}

// oneMore returns a table of n routes on so many hosts, and the change to one more.
func oneMore(tb testing.TB, n, hosts int) (*Table, *fleetpb.TableChange) {
	tb.Helper()
	table, err := New(document(n, hosts))
	if err != nil {
		tb.Fatal(err)
	}
	d := document(n+1, hosts)
	d.Version = 2
	_, change, err := table.ApplyDocument(d)
	if err != nil {
		tb.Fatal(err)
	}
	return table, change
}

// TestAChangeOfOneRouteCostsTheSameAmongMany: an instance has a fifth of a core, and each
// change of anything made it read and index all that is configured. Work is counted in
// allocations, which do not depend on the machine.
func TestAChangeOfOneRouteCostsTheSameAmongMany(t *testing.T) {
	allocations := func(n, hosts int) float64 {
		table, change := oneMore(t, n, hosts)
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
		// most allows for a few more levels of the trees.
		const most = 2
		if few, many := allocations(1000, hosts), allocations(10000, hosts); many > most*few {
			t.Errorf("on %d hosts: %.0f allocations among 10,000 routes, %.0f among 1,000", hosts, many, few)
		}
	}
}

func FuzzAdd(f *testing.F) {
	table, change := oneMore(f, 20, 2)
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
			t.Error("a table was taken that has another digest")
		}
		if !bytes.Equal(table.Digest(), before) {
			t.Error("the table before was altered")
		}
	})
}

// sizes are the numbers of routes of the benchmarks, all on one host and on a host each.
var sizes = []int{1000, 10000, 100000}

func eachSize(b *testing.B, f func(b *testing.B, n, hosts int)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("routes=%d/hosts=1", n), func(b *testing.B) { f(b, n, 1) })
		b.Run(fmt.Sprintf("routes=%d/hosts=%d", n, n), func(b *testing.B) { f(b, n, n) })
	}
}

// BenchmarkNew indexes a whole configuration, as an instance does after its start.
func BenchmarkNew(b *testing.B) {
	eachSize(b, func(b *testing.B, n, hosts int) {
		d := document(n, hosts)
		for b.Loop() {
			if _, err := New(d); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkNext is a control instance's work for a whole configuration with one route more.
func BenchmarkNext(b *testing.B) {
	eachSize(b, func(b *testing.B, n, hosts int) {
		table, err := New(document(n, hosts))
		if err != nil {
			b.Fatal(err)
		}
		d := document(n+1, hosts)
		for b.Loop() {
			if _, _, err := table.ApplyDocument(d); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkChange is an entry instance's work for one route more.
func BenchmarkChange(b *testing.B) {
	eachSize(b, func(b *testing.B, n, hosts int) {
		table, change := oneMore(b, n, hosts)
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

// BenchmarkMatch is a request's.
func BenchmarkMatch(b *testing.B) {
	eachSize(b, func(b *testing.B, n, hosts int) {
		table, err := New(document(n, hosts))
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
