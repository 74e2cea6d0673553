// SPDX-License-Identifier: MIT

package store

import (
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
