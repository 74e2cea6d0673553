// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"time"
)

const (
	// storeDown is how long the process of a store machine is down, and wipeAfter when the other store machine loses its
	// disk meanwhile.
	storeDown = 4800 * time.Millisecond
	wipeAfter = 4600 * time.Millisecond
)

func init() { cases["2"] = lostWithOneDisk }

// lostWithOneDisk has one of three store machines emptied and removed. Then the process of another one is down for a while,
// and the disk of the third is lost before it is back. With one lost disk nothing acknowledged may be lost.
func lostWithOneDisk(ctx context.Context, w *world) (string, error) {
	stores := w.of(storeRole)
	if err := w.retire(ctx, stores[0]); err != nil {
		return "", err
	}
	w.record.print("%s is emptied and removed", stores[0].name())
	time.Sleep(6 * time.Second)
	lines := w.beginPrograms(ctx, 6, "before")
	if w.trouble {
		stores[2].kill()
		killed := time.Now()
		w.record.print("the process of %s is killed", stores[2].name())
		until, cancel := context.WithDeadline(ctx, killed.Add(wipeAfter))
		lines = append(lines, w.beginPrograms(until, 20, "meanwhile")...)
		cancel()
		time.Sleep(wipeAfter - time.Since(killed))
		if err := w.loseDisk(stores[1]); err != nil {
			return "", err
		}
		w.record.print("%s has lost its disk", stores[1].name())
		time.Sleep(storeDown - time.Since(killed))
		if err := stores[2].start(false); err != nil {
			return "", err
		}
		time.Sleep(wipeAfter + diskDown - time.Since(killed))
		if err := stores[1].start(false); err != nil {
			return "", err
		}
		w.record.print("both are back")
	} else {
		lines = append(lines, w.beginPrograms(ctx, 3, "meanwhile")...)
	}
	w.record.print("%d programs had a turn answered whole", len(lines))
	if len(lines) == 0 {
		return "", errors.New("no turn was answered")
	}
	return w.judgeAfterFinalFault(ctx, lines), nil
}
