// SPDX-License-Identifier: MIT

package disk

import (
	"errors"
	"testing"

	bolt "go.etcd.io/bbolt"

	"rockbarrow.dev/rockbarrow/journal"
)

// fill writes a journal of three entries through a writer and a store.
func fill(t *testing.T, dir string) journal.Digest {
	t.Helper()
	s, closeStore, err := Open(dir, 7)
	if err != nil {
		t.Fatal(err)
	}
	self := journal.NewMember("a", s.Storage()).WithDisk()
	r := &journal.Replica{}
	w := journal.Writer{Self: self, Incarnation: 1, Initial: journal.Members{self}}
	pending := w.Handle(journal.Campaign{})
	for _, payload := range []string{"", "one", "two"} {
		if payload != "" {
			pending = append(pending, w.Handle(journal.Propose{Payload: []byte(payload)})...)
		}
		for len(pending) > 0 {
			a := pending[0]
			pending = pending[1:]
			send, ok := a.(journal.Send)
			if !ok {
				continue
			}
			reply, change := r.Handle(send.Message)
			if err := s.Enqueue("run", change)(); err != nil {
				t.Fatal(err)
			}
			pending = append(pending, w.Handle(journal.Replied{From: self, Reply: reply})...)
		}
	}
	if err := closeStore(); err != nil {
		t.Fatal(err)
	}
	_, _, digest := r.Log().Last()
	return digest
}

func TestReadsBackWhatWasSynced(t *testing.T) {
	dir := t.TempDir()
	want := fill(t, dir)
	s, closeStore, err := Open(dir, 99)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore()
	if s.Storage() != 7 {
		t.Fatalf("storage %d after reopening, want the first number 7", s.Storage())
	}
	kept, err := s.Load()
	if err != nil || len(kept) != 1 {
		t.Fatalf("%d journals, error %v, want 1", len(kept), err)
	}
	if _, _, got := kept[0].Replica().Log().Last(); got != want {
		t.Fatal("the digest read back differs")
	}
}

func TestDamageIsReported(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir)
	s, closeStore, err := Open(dir, 99)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore()
	err = s.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(journalsBucket).Bucket([]byte("run"))
		v := append([]byte(nil), b.Get(entryKey(2))...)
		v[len(v)-1] ^= 1
		return b.Put(entryKey(2), v)
	})
	if err != nil {
		t.Fatal(err)
	}
	var corrupt *CorruptError
	if _, err := s.Load(); !errors.As(err, &corrupt) || corrupt.Journal != "run" {
		t.Fatalf("error %v, want one that names the damaged journal", err)
	}
}

func TestMissingEntryIsReported(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir)
	s, closeStore, err := Open(dir, 99)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore()
	err = s.db.Update(func(tx *bolt.Tx) error {
		return tx.Bucket(journalsBucket).Bucket([]byte("run")).Delete(entryKey(2))
	})
	if err != nil {
		t.Fatal(err)
	}
	var corrupt *CorruptError
	if _, err := s.Load(); !errors.As(err, &corrupt) {
		t.Fatalf("error %v, want a corrupt journal", err)
	}
}

func TestFailedWriteEndsTheStore(t *testing.T) {
	s, closeStore, err := Open(t.TempDir(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore()
	// A closed file stands for a disk whose writes fail.
	s.db.Close()
	var failed *FailedError
	if err := s.Put("k", nil)(); !errors.As(err, &failed) {
		t.Fatalf("error %v, want a failed store", err)
	}
	if err := s.Enqueue("run", journal.Change{})(); !errors.As(err, &failed) {
		t.Fatalf("error %v after the failure, want the store to stay ended", err)
	}
}

func TestDropRemovesAJournal(t *testing.T) {
	dir := t.TempDir()
	fill(t, dir)
	s, closeStore, err := Open(dir, 99)
	if err != nil {
		t.Fatal(err)
	}
	defer closeStore()
	if err := s.Drop("run")(); err != nil {
		t.Fatal(err)
	}
	if kept, err := s.Load(); err != nil || len(kept) != 0 {
		t.Fatalf("%d journals, error %v, want none", len(kept), err)
	}
}
