// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"errors"
	"time"
)

const (
	// successorDelay is the time from the loss of a machine to the start of its successor, and settleTime the one from
	// there to the final fault. It exceeds catchUpS.
	successorDelay, settleTime = 2 * time.Second, 12 * time.Second
)

func init() { cases["1"] = lostWithGoneMember }

// lostWithGoneMember has one of three store machines emptied and removed. Another one is gone for good, and an empty one
// comes at another address. Later the disk of the third is lost.
func lostWithGoneMember(ctx context.Context, w *world) (string, error) {
	stores := w.of(storeRole)
	if err := w.retire(ctx, stores[0]); err != nil {
		return "", err
	}
	w.record.print("%s is emptied and removed", stores[0].name())
	time.Sleep(6 * time.Second)
	if w.trouble {
		if err := w.loseDisk(stores[2]); err != nil {
			return "", err
		}
		w.record.print("%s is gone for good", stores[2].name())
		time.Sleep(successorDelay)
		successor := w.add(storeRole, 2, 2)
		if err := successor.start(false); err != nil {
			return "", err
		}
		w.record.print("%s takes its place", successor.name())
		time.Sleep(settleTime)
	}
	lines := w.beginPrograms(ctx, 6, "before")
	w.record.print("%d programs had a turn answered whole", len(lines))
	if len(lines) == 0 {
		return "", errors.New("no turn was answered")
	}
	if w.trouble {
		if err := w.loseDisk(stores[1]); err != nil {
			return "", err
		}
		w.record.print("%s has lost its disk", stores[1].name())
		time.Sleep(diskDown)
		if err := stores[1].start(false); err != nil {
			return "", err
		}
	}
	return w.judgeAfterFinalFault(ctx, lines), nil
}
