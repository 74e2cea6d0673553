// SPDX-License-Identifier: MIT

package control

import (
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/configpb"
)

// named is an object of the document that is identified by its name.
type named interface {
	proto.Message
	GetName() string
}

// putByName returns a copy of the list in which an object replaces the one of
// the same name, or is appended.
func putByName[T named](list []T, v T) []T {
	out := append([]T(nil), list...)
	for i, o := range out {
		if o.GetName() == v.GetName() {
			out[i] = v
			return out
		}
	}
	return append(out, v)
}

func removeByName[T named](list []T, name string) ([]T, bool) {
	var out []T
	for _, o := range list {
		if o.GetName() != name {
			out = append(out, o)
		}
	}
	return out, len(out) < len(list)
}

// ApplyCommand returns the document after a command, without validating it, and
// the names of objects to remove that do not exist. The given document is not
// modified; the result shares its objects.
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
		if !applyChange(out, ch) {
			missing = append(missing, ch.GetRemove().GetName())
		}
	}
	return out, missing
}

func applyChange(doc *configpb.Document, ch *configpb.Change) bool {
	switch e := ch.GetEdit().(type) {
	case *configpb.Change_PutCustomer:
		doc.Customers = putByName(doc.Customers, e.PutCustomer)
	case *configpb.Change_PutModel:
		doc.Models = putByName(doc.Models, e.PutModel)
	case *configpb.Change_PutEndpoint:
		doc.Endpoints = putByName(doc.Endpoints, e.PutEndpoint)
	case *configpb.Change_PutProgram:
		doc.Programs = putByName(doc.Programs, e.PutProgram)
	case *configpb.Change_PutService:
		doc.Services = putByName(doc.Services, e.PutService)
	case *configpb.Change_PutBinding:
		doc.Bindings = putByName(doc.Bindings, e.PutBinding)
	case *configpb.Change_PutWithdrawal:
		doc.Withdrawals = putWithdrawal(doc.Withdrawals, e.PutWithdrawal)
	case *configpb.Change_Remove:
		return remove(doc, e.Remove)
	}
	return true
}

func putWithdrawal(list []*configpb.Withdrawal, w *configpb.Withdrawal) []*configpb.Withdrawal {
	out, _ := removeWithdrawal(list, w.GetSubject())
	return append(out, w)
}

func removeWithdrawal(list []*configpb.Withdrawal, subject string) ([]*configpb.Withdrawal, bool) {
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
		doc.Customers, ok = removeByName(doc.Customers, r.GetName())
	case configpb.Removal_KIND_MODEL:
		doc.Models, ok = removeByName(doc.Models, r.GetName())
	case configpb.Removal_KIND_ENDPOINT:
		doc.Endpoints, ok = removeByName(doc.Endpoints, r.GetName())
	case configpb.Removal_KIND_PROGRAM:
		doc.Programs, ok = removeByName(doc.Programs, r.GetName())
	case configpb.Removal_KIND_SERVICE:
		doc.Services, ok = removeByName(doc.Services, r.GetName())
	case configpb.Removal_KIND_BINDING:
		doc.Bindings, ok = removeByName(doc.Bindings, r.GetName())
	case configpb.Removal_KIND_WITHDRAWAL:
		doc.Withdrawals, ok = removeWithdrawal(doc.Withdrawals, r.GetName())
	}
	return ok
}
