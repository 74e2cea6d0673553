// SPDX-License-Identifier: MIT

package disk

import (
	bolt "go.etcd.io/bbolt"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/peer/wire"
	"rockbarrow.dev/schema/peerpb"
)

// Load reads all journals back. One that is damaged is a [CorruptError].
func (s *Store) Load() ([]Kept, error) {
	var out []Kept
	err := s.db.View(func(tx *bolt.Tx) error {
		journals := tx.Bucket(journalsBucket)
		return journals.ForEachBucket(func(name []byte) error {
			r, err := load(string(name), journals.Bucket(name))
			if err != nil {
				return err
			}
			out = append(out, Kept{name: string(name), replica: r})
			return nil
		})
	})
	return out, err
}

func load(name string, b *bolt.Bucket) (*journal.Replica, error) {
	var head peerpb.JournalReply
	if err := getProto(name, b, headKey, &head); err != nil {
		return nil, err
	}
	var base journal.Base
	if b.Get(baseKey) != nil {
		var p peerpb.Base
		if err := getProto(name, b, baseKey, &p); err != nil {
			return nil, err
		}
		base = wire.ToBase(&p)
	}
	entries, err := loadEntries(name, b)
	if err != nil {
		return nil, err
	}
	r, err := journal.RestoreReplica(wire.ToBallot(head.GetBallot()), head.GetCommit(), base, entries)
	if err != nil {
		return nil, &CorruptError{Journal: name, Key: "entries", Reason: err.Error()}
	}
	return r, nil
}

func loadEntries(name string, b *bolt.Bucket) ([]journal.Entry, error) {
	var out []journal.Entry
	c := b.Cursor()
	for k, _ := c.Seek(entryKey(0)); isEntry(k); k, _ = c.Next() {
		var p peerpb.Entry
		if err := getProto(name, b, k, &p); err != nil {
			return nil, err
		}
		out = append(out, wire.ToEntry(&p))
	}
	return out, nil
}

func getProto(name string, b *bolt.Bucket, key []byte, m proto.Message) error {
	v := b.Get(key)
	if v == nil {
		return &CorruptError{Journal: name, Key: string(key), Reason: "the value is missing"}
	}
	body, err := unseal(v)
	if err != nil {
		return &CorruptError{Journal: name, Key: string(key), Reason: err.Error()}
	}
	if err := proto.Unmarshal(body, m); err != nil {
		return &CorruptError{Journal: name, Key: string(key), Reason: err.Error()}
	}
	return nil
}
