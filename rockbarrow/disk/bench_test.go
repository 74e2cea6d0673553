// SPDX-License-Identifier: MIT

package disk

import (
	"fmt"
	"sync"
	"testing"

	"rockbarrow.dev/rockbarrow/journal"
)

// BenchmarkSync measures one synced change of 1,600 bytes with a number of
// journals that write at once and so share syncs.
func BenchmarkSync(b *testing.B) {
	for _, writers := range []int{1, 16, 128} {
		b.Run(fmt.Sprintf("writers=%d", writers), func(b *testing.B) {
			s, closeStore, err := Open(b.TempDir(), 1)
			if err != nil {
				b.Fatal(err)
			}
			defer closeStore()
			change := journal.Change{Durable: true, Entries: []journal.Entry{
				journal.RestoreEntry(1, journal.Ballot{}, journal.Digest{}, journal.Digest{}, make([]byte, 1600), nil),
			}}
			b.ResetTimer()
			var wait sync.WaitGroup
			for w := range writers {
				wait.Add(1)
				go func() {
					defer wait.Done()
					for n := w; n < b.N; n += writers {
						if err := s.Enqueue(fmt.Sprintf("run-%d", w), change)(); err != nil {
							b.Error(err)
						}
					}
				}()
			}
			wait.Wait()
		})
	}
}
