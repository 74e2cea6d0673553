// SPDX-License-Identifier: MIT

package controller

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/durable"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// votes keeps an acceptor's record on the disk in two cells. A promise goes with every
// read and every change of anything, and must not cost what is configured: it is written
// by itself, in some hundred bytes. Only an accepted value is written whole.
type votes struct {
	// value holds a whole record, promise one without accepted ballot and state. The
	// promise in force is the newer of the two; that there is a deployment holds if either says so.
	value, promise *durable.Cell
}

// The names of the cells.
const (
	valueCell   = "register"
	promiseCell = "promise"
)

// Used reports whether a data folder holds votes.
func HasVotes(dir string) (bool, error) {
	used, err := durable.HasCell(dir, valueCell)
	if used || err != nil {
		return used, err
	}
	return durable.HasCell(dir, promiseCell)
}

// openVotes reads the votes of a data folder. The record is nil on a new disk.
func openVotes(dir string) (*votes, *fleetpb.AcceptorRecord, error) {
	value, err := durable.OpenCell(dir, valueCell)
	if err != nil {
		return nil, nil, err
	}
	promise, err := durable.OpenCell(dir, promiseCell)
	if err != nil {
		return nil, nil, err
	}
	v := &votes{value: value, promise: promise}
	record, err := v.record()
	if err != nil {
		return nil, nil, errors.Wrap(&durable.DamagedError{Dir: dir, What: "a vote"}, err.Error())
	}
	return v, record, nil
}

func (v *votes) record() (*fleetpb.AcceptorRecord, error) {
	if v.value.Value() == nil && v.promise.Value() == nil {
		return nil, nil
	}
	record, promise := &fleetpb.AcceptorRecord{}, &fleetpb.AcceptorRecord{}
	if err := proto.Unmarshal(v.value.Value(), record); err != nil {
		return nil, err
	}
	if err := proto.Unmarshal(v.promise.Value(), promise); err != nil {
		return nil, err
	}
	if register.CompareBallots(promise.GetPromised(), record.GetPromised()) > 0 {
		record.Promised = promise.GetPromised()
	}
	record.Formed = record.GetFormed() || promise.GetFormed()
	return record, nil
}

// savePromise writes what a promise changes of a record.
func (v *votes) savePromise(r *fleetpb.AcceptorRecord) error {
	return save(v.promise, &fleetpb.AcceptorRecord{Promised: r.GetPromised(), Formed: r.GetFormed()})
}

// saveValue writes a whole record.
func (v *votes) saveValue(r *fleetpb.AcceptorRecord) error { return save(v.value, r) }

func save(cell *durable.Cell, r *fleetpb.AcceptorRecord) error {
	b, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	return cell.Save(b)
}
