// SPDX-License-Identifier: MIT

package controller

import (
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/durable"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/schema/fleetpb"
)

// voteStore persists an acceptor's record in two cells. Promises are frequent, as every read and
// change needs one, so they are written separately, in some hundred bytes, from the much larger
// accepted value.
type voteStore struct {
	// value holds a whole record; promise holds a record without accepted ballot and state. The
	// newer of the two promises is in force, and a deployment exists if either record says so.
	value, promise *durable.Cell
}

// Names of the cells.
const (
	valueCell   = "register"
	promiseCell = "promise"
)

// HasVotes reports whether a data directory contains votes.
func HasVotes(dir string) (bool, error) {
	used, err := durable.HasCell(dir, valueCell)
	if used || err != nil {
		return used, err
	}
	return durable.HasCell(dir, promiseCell)
}

// openVotes reads the votes in a data directory. The record is nil if the directory has none.
func openVotes(dir string) (*voteStore, *fleetpb.AcceptorRecord, error) {
	value, err := durable.OpenCell(dir, valueCell)
	if err != nil {
		return nil, nil, err
	}
	promise, err := durable.OpenCell(dir, promiseCell)
	if err != nil {
		return nil, nil, err
	}
	v := &voteStore{value: value, promise: promise}
	record, err := v.load()
	if err != nil {
		return nil, nil, errors.Wrap(&durable.DamagedError{Dir: dir, What: "a vote"}, err.Error())
	}
	return v, record, nil
}

func (v *voteStore) load() (*fleetpb.AcceptorRecord, error) {
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

// savePromise writes only the promise of a record.
func (v *voteStore) savePromise(r *fleetpb.AcceptorRecord) error {
	return saveCell(v.promise, &fleetpb.AcceptorRecord{Promised: r.GetPromised(), Formed: r.GetFormed()})
}

// saveValue writes a whole record.
func (v *voteStore) saveValue(r *fleetpb.AcceptorRecord) error { return saveCell(v.value, r) }

func saveCell(cell *durable.Cell, r *fleetpb.AcceptorRecord) error {
	b, err := proto.Marshal(r)
	if err != nil {
		return err
	}
	return cell.Save(b)
}
