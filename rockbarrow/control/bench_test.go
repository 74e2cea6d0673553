// SPDX-License-Identifier: MIT

package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/configpb"
)

// sizedDocument returns a document with a percentage of the objects of the largest
// expected configuration.
func sizedDocument(percent int) *configpb.Document {
	doc := &configpb.Document{Version: 9}
	n := func(full int) int { return max(1, full*percent/100) }
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

// BenchmarkSnapshot measures indexing a document and reports the encoded
// document size.
func BenchmarkSnapshot(b *testing.B) {
	for _, percent := range []int{10, 50, 100} {
		b.Run(fmt.Sprintf("share=%d%%", percent), func(b *testing.B) {
			doc := sizedDocument(percent)
			b.ReportAllocs()
			for b.Loop() {
				NewSnapshot(doc)
			}
			b.ReportMetric(float64(proto.Size(doc)), "docbytes")
		})
	}
}

// BenchmarkValidate measures the validation of a whole document.
func BenchmarkValidate(b *testing.B) {
	doc := sizedDocument(100)
	var domains []FailureDomain
	for i := range 8 {
		domains = append(domains, NewFailureDomain(fmt.Sprintf("domain-%d", i), 49, 2))
	}
	if violations := Validate(doc, domains); len(violations) > 0 {
		b.Fatal(violations[0])
	}
	for b.Loop() {
		Validate(doc, domains)
	}
}
