// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"context"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"

	"rockbarrow.dev/platform/wire"
	"rockbarrow.dev/schema/fleetpb"
)

// aboveAll is added to the newest version by changes that must not be taken: one that is would hold.
const aboveAll = 1 << 40

// spoil makes a valid configuration one that no instance may take.
type spoil struct {
	name string
	// document changes the configuration, text what is sent; either may be nil.
	document func(d *fleetpb.Document)
	text     func(r *rand.Rand, b []byte) []byte
}

var spoils = []spoil{
	{name: "cut short", text: func(r *rand.Rand, b []byte) []byte { return b[:r.IntN(len(b))] }},
	{name: "no routes", text: func(_ *rand.Rand, b []byte) []byte { return renamed(b, "routes") }},
	{name: "no services", text: func(_ *rand.Rand, b []byte) []byte { return renamed(b, "services") }},
	{name: "no version", text: func(_ *rand.Rand, b []byte) []byte { return renamed(b, "version") }},
	{name: "bytes behind it", text: func(_ *rand.Rand, b []byte) []byte { return append(b, "{}"...) }},
	{name: "no UTF-8", text: func(_ *rand.Rand, b []byte) []byte { return bytes.Replace(b, []byte(host), []byte("\xff\xfe"), 1) }},
	{name: "a timeout of zero", document: func(d *fleetpb.Document) { d.Routes[0].TimeoutMs = 0 }},
	{name: "a service that is not known", document: func(d *fleetpb.Document) { d.Routes[0].Shares[0].Service = "nobody" }},
	{name: "weights of zero", document: func(d *fleetpb.Document) { d.Routes[0].Shares[0].Weight = 0 }},
	{name: "two routes of one place", document: func(d *fleetpb.Document) { d.Routes = append(d.Routes, d.Routes[0]) }},
	{name: "a key that two customers hold", text: func(_ *rand.Rand, b []byte) []byte {
		return bytes.Replace(b, []byte(`"secret-`+bounded+`"`), []byte(`"secret-`+steadyName(0)+`"`), 1)
	}},
	{name: "a field twice", text: twice},
	{name: "a required field in other letters", text: capitals},
	{name: "no limits", text: func(_ *rand.Rand, b []byte) []byte { return renamed(b, "limits") }},
	{name: "limits that are null", text: func(_ *rand.Rand, b []byte) []byte {
		return bytes.Replace(b, []byte(`"limits":{`), []byte(`"limits":null,"were-limits":{`), 1)
	}},
	{name: "a number as text", text: quoted},
	{name: "a number below zero", text: func(r *rand.Rand, b []byte) []byte { return spliced(r, b, `"timeoutMs":`, `"timeoutMs":-`) }},
	{name: "a version with a fraction", text: func(r *rand.Rand, b []byte) []byte { return spliced(r, b, `"version":`, `"version":0.5e0,"was":`) }},
	{name: "an unknown kind", document: func(d *fleetpb.Document) { d.Routes[0].Kind = fleetpb.RouteKind_ROUTE_KIND_UNSPECIFIED }},
}

// renamed gives another name to a field of the outermost level.
func renamed(b []byte, field string) []byte {
	return bytes.Replace(b, []byte(`"`+field+`":`), []byte(`"was-`+field+`":`), 1)
}

// requiredFields are in each configuration and each of its routes.
var requiredFields = []string{"version", "routes", "services", "limits", "host", "pathPrefix", "type", "timeoutMs"}

// fieldName matches the name of a field.
var fieldName = regexp.MustCompile(`"[A-Za-z]+":`)

// spliced replaces one occurrence of a text.
func spliced(r *rand.Rand, b []byte, old, with string) []byte {
	n := bytes.Count(b, []byte(old))
	if n == 0 {
		return b
	}
	at := 0
	for range r.IntN(n) + 1 {
		at += bytes.Index(b[at:], []byte(old)) + 1
	}
	return slices.Concat(b[:at-1], []byte(with), b[at-1+len(old):])
}

// twice names a field of some object twice.
func twice(r *rand.Rand, b []byte) []byte {
	all := fieldName.FindAllIndex(b, -1)
	at := all[r.IntN(len(all))]
	return slices.Concat(b[:at[0]], b[at[0]:at[1]], []byte("null,"), b[at[0]:])
}

// capitals writes a required field with a capital letter, which makes it one that is not known.
func capitals(r *rand.Rand, b []byte) []byte {
	name := requiredFields[r.IntN(len(requiredFields))]
	return spliced(r, b, `"`+name+`":`, `"`+strings.ToUpper(name[:1])+name[1:]+`":`)
}

// quoted puts a number between quotes.
func quoted(r *rand.Rand, b []byte) []byte {
	return spliced(r, b, `"timeoutMs":`, `"timeoutMs":"1","was":`)
}

// sendInvalid sends one of them.
func (f *fleet) sendInvalid(ctx context.Context, r *rand.Rand) {
	f.configuring.Lock()
	defer f.configuring.Unlock()
	why, text := f.invalid(r)
	if why == "" {
		return
	}
	f.operator.ExpectRefusal(ctx, why, text)
	// Without a draw, so that those of seeds stay.
	f.operator.ExpectRefusal(ctx, "no bytes", nil)
}

// invalid returns one of them and why it is invalid, which is empty if there is nothing of its kind in the configuration, as without
// customers. The caller holds configuring.
func (f *fleet) invalid(r *rand.Rand) (why string, text []byte) {
	s := spoils[r.IntN(len(spoils))]
	d := f.document(f.version + aboveAll)
	if s.document != nil {
		s.document(d)
	}
	b, err := wire.EncodeDocument(d, f.customers.held())
	if err != nil {
		f.ledger.AddViolation("%v", err)
		return "", nil
	}
	if s.text != nil {
		spoiled := s.text(r, bytes.Clone(b))
		if bytes.Equal(spoiled, b) {
			return "", nil
		}
		b = spoiled
	}
	return s.name, b
}
