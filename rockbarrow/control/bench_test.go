// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/configpb"
)

// sizedDocument has as many objects as a share of the letter's size.
func sizedDocument(share int) *configpb.Document {
	doc := &configpb.Document{Version: 9}
	n := func(whole int) int { return max(1, whole*share/100) }
	for i := range n(250) {
		doc.Customers = append(doc.Customers, &configpb.Customer{Name: fmt.Sprintf("customer-%d", i), KeyHashes: []string{HashKey(fmt.Sprint(i))}})
		doc.Programs = append(doc.Programs, &configpb.Program{Name: fmt.Sprintf("program-%d", i), Customer: fmt.Sprintf("customer-%d", i), Model: "model-0", Binding: "binding-0", BudgetTokens: 100_000})
	}
	for i := range n(27) {
		doc.Models = append(doc.Models, &configpb.Model{Name: fmt.Sprintf("model-%d", i)})
	}
	for i := range 8 {
		doc.Bindings = append(doc.Bindings, &configpb.Binding{Name: fmt.Sprintf("binding-%d", i), Domains: []string{fmt.Sprintf("domain-%d", i)}})
	}
	for i := range n(900) {
		doc.Endpoints = append(doc.Endpoints, &configpb.Endpoint{Name: fmt.Sprintf("engine-%d", i), Domain: fmt.Sprintf("domain-%d", i%8), Address: "http://10.0.0.1:8000", Models: []string{fmt.Sprintf("model-%d", i%n(27))}})
	}
	return doc
}

// BenchmarkSnapshot measures bringing one version into force, and reports the
// document's size.
func BenchmarkSnapshot(b *testing.B) {
	for _, share := range []int{10, 50, 100} {
		b.Run(fmt.Sprintf("share=%d%%", share), func(b *testing.B) {
			doc := sizedDocument(share)
			b.ReportAllocs()
			for b.Loop() {
				NewSnapshot(doc)
			}
			b.ReportMetric(float64(proto.Size(doc)), "docbytes")
		})
	}
}

// BenchmarkValidate measures judging a whole document at the leader.
func BenchmarkValidate(b *testing.B) {
	doc := sizedDocument(100)
	var places []FailureDomain
	for i := range 8 {
		places = append(places, NewFailureDomain(fmt.Sprintf("domain-%d", i), 49, 2))
	}
	if found := Validate(doc, places); len(found) > 0 {
		b.Fatal(found[0])
	}
	for b.Loop() {
		Validate(doc, places)
	}
}
