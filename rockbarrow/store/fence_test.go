// SPDX-License-Identifier: MIT

package store

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/schema/fleetpb"
)

// newRefusingStore returns a store whose disk refuses all writes.
func newRefusingStore(t *testing.T) *Store {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := &dial.Pool{}
	t.Cleanup(pool.Close)
	dir := filepath.Join(t.TempDir(), "data")
	s := &Store{Self: &fleetpb.Member{Instance: "store", Storage: 7}, DataDir: dir, Pool: pool, Log: logrus.NewEntry(log)}
	stop, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	if err := os.Remove(dir); err != nil {
		t.Fatal(err)
	}
	return s
}

// TestAViewIsServedOnlyOnceItsFenceIsOnDisk guards against a store that serves a view, loses power and then serves the view
// before: the first call of a view fenced the older one, and the next ones did not wait for that, or for its failure.
func TestAViewIsServedOnlyOnceItsFenceIsOnDisk(t *testing.T) {
	s := newRefusingStore(t)
	for i := range 2 {
		st, err := s.admit(t.Context(), 5, 7)
		if err != nil || st.GetRefused() != fleetpb.StoreStatus_REFUSED_DISK {
			t.Errorf("call %d: %v, %v, want that the disk refuses", i, st, err)
		}
	}
}

// TestACopyIsReportedOnlyOnceItIsOnDisk guards against a move of runs that ends by a copy which a loss of power undoes.
func TestACopyIsReportedOnlyOnceItIsOnDisk(t *testing.T) {
	s := newRefusingStore(t)
	c := &copier{store: s}
	// The fence has been written, and the disk refuses since.
	s.epoch = 2
	s.fenced.Store(2)
	if err := c.complete(t.Context(), &fleetpb.View{Epoch: 2, Copies: 1, Members: []*fleetpb.Member{s.Self}}); err == nil {
		t.Error("the disk refuses and the copy is complete")
	}
	if got := s.CompleteEpoch(); got != 0 {
		t.Errorf("view %d is reported", got)
	}
}

// TestFullStoreRefusesRecords guards against a control instance that fills its disk or memory
// with the records that it keeps in place of a store.
func TestFullStoreRefusesRecords(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Store{Self: &fleetpb.Member{Instance: "store", Storage: 7}, DataDir: t.TempDir(), Log: logrus.NewEntry(log), MaxTurnBytes: 100}
	stop, err := s.Open()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	for i := range 4 {
		turn := &fleetpb.Turn{Id: fmt.Sprint(i), Home: "p", Input: make([]byte, 60)}
		r, err := s.Settle(t.Context(), &fleetpb.SettleRequest{Epoch: 1, Storage: 7, Program: "p", Turn: turn})
		if err != nil {
			t.Fatal(err)
		}
		want := fleetpb.StoreStatus_REFUSED_NONE
		if i >= 2 {
			want = fleetpb.StoreStatus_REFUSED_DISK
		}
		if got := r.GetStatus().GetRefused(); got != want {
			t.Errorf("turn %d: %v, want %v", i, got, want)
		}
	}
	if _, turns, _ := s.state.Size(); turns != 2 {
		t.Errorf("%d turns are held, want 2", turns)
	}
}
