// SPDX-License-Identifier: MIT

package control

import (
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/configpb"
)

// named is any object of the document.
type named interface {
	proto.Message
	GetName() string
}

// put replaces the object of the same name or appends it.
func put[T named](list []T, v T) []T {
	out := append([]T(nil), list...)
	for i, o := range out {
		if o.GetName() == v.GetName() {
			out[i] = v
			return out
		}
	}
	return append(out, v)
}

func drop[T named](list []T, name string) ([]T, bool) {
	var out []T
	for _, o := range list {
		if o.GetName() != name {
			out = append(out, o)
		}
	}
	return out, len(out) < len(list)
}

// ApplyCommand returns the document after a command, without judging it. The given
// document stays as it is; objects are shared. Names of removed objects that
// were not there are returned.
func ApplyCommand(doc *configpb.Document, c *configpb.Command) (*configpb.Document, []string) {
	out := &configpb.Document{
		Version:     doc.GetVersion() + 1,
		Customers:   doc.GetCustomers(),
		Models:      doc.GetModels(),
		Endpoints:   doc.GetEndpoints(),
		Programs:    doc.GetPrograms(),
		Services:    doc.GetServices(),
		Bindings:    doc.GetBindings(),
		Withdrawals: doc.GetWithdrawals(),
	}
	var missing []string
	for _, ch := range c.GetChanges() {
		if !editOne(out, ch) {
			missing = append(missing, ch.GetRemove().GetName())
		}
	}
	return out, missing
}

func editOne(doc *configpb.Document, ch *configpb.Change) bool {
	switch e := ch.GetEdit().(type) {
	case *configpb.Change_PutCustomer:
		doc.Customers = put(doc.Customers, e.PutCustomer)
	case *configpb.Change_PutModel:
		doc.Models = put(doc.Models, e.PutModel)
	case *configpb.Change_PutEndpoint:
		doc.Endpoints = put(doc.Endpoints, e.PutEndpoint)
	case *configpb.Change_PutProgram:
		doc.Programs = put(doc.Programs, e.PutProgram)
	case *configpb.Change_PutService:
		doc.Services = put(doc.Services, e.PutService)
	case *configpb.Change_PutBinding:
		doc.Bindings = put(doc.Bindings, e.PutBinding)
	case *configpb.Change_PutWithdrawal:
		doc.Withdrawals = putWithdrawal(doc.Withdrawals, e.PutWithdrawal)
	case *configpb.Change_Remove:
		return remove(doc, e.Remove)
	}
	return true
}

func putWithdrawal(list []*configpb.Withdrawal, w *configpb.Withdrawal) []*configpb.Withdrawal {
	out, _ := dropWithdrawal(list, w.GetSubject())
	return append(out, w)
}

func dropWithdrawal(list []*configpb.Withdrawal, subject string) ([]*configpb.Withdrawal, bool) {
	var out []*configpb.Withdrawal
	for _, o := range list {
		if o.GetSubject() != subject {
			out = append(out, o)
		}
	}
	return out, len(out) < len(list)
}

func remove(doc *configpb.Document, r *configpb.Removal) (ok bool) {
	switch r.GetKind() {
	case configpb.Removal_KIND_CUSTOMER:
		doc.Customers, ok = drop(doc.Customers, r.GetName())
	case configpb.Removal_KIND_MODEL:
		doc.Models, ok = drop(doc.Models, r.GetName())
	case configpb.Removal_KIND_ENDPOINT:
		doc.Endpoints, ok = drop(doc.Endpoints, r.GetName())
	case configpb.Removal_KIND_PROGRAM:
		doc.Programs, ok = drop(doc.Programs, r.GetName())
	case configpb.Removal_KIND_SERVICE:
		doc.Services, ok = drop(doc.Services, r.GetName())
	case configpb.Removal_KIND_BINDING:
		doc.Bindings, ok = drop(doc.Bindings, r.GetName())
	case configpb.Removal_KIND_WITHDRAWAL:
		doc.Withdrawals, ok = dropWithdrawal(doc.Withdrawals, r.GetName())
	}
	return ok
}
