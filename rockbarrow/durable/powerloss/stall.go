// SPDX-License-Identifier: MIT

package powerloss

import (
	"os"
	"time"

	"github.com/pkg/errors"
)

// stallPoll is how often a stalled sync looks whether it goes on.
const stallPoll = 2 * time.Millisecond

// stallFile exists next to a folder while its disk stalls. Its content is how long each sync takes, none for until it is gone.
func stallFile(dir string) string { return dir + ".stall" }

// Stall makes each sync in a traced folder wait until the returned function is called. With a delay each one waits for that long.
func Stall(dir string, delay time.Duration) (end func() error, err error) {
	text := ""
	if delay > 0 {
		text = delay.String()
	}
	// A reader must not see an empty file for a delay.
	temporary := stallFile(dir) + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "powerloss: stall")
	}
	if err := os.Rename(temporary, stallFile(dir)); err != nil {
		return nil, errors.Wrap(err, "powerloss: stall")
	}
	return func() error { return errors.Wrap(os.Remove(stallFile(dir)), "powerloss: end of a stall") }, nil
}

// awaitDisk returns once the disk of the folder has synced.
func (t *Trace) awaitDisk() {
	for {
		text, err := os.ReadFile(stallFile(t.dir))
		if err != nil {
			return
		}
		if delay, err := time.ParseDuration(string(text)); err == nil {
			time.Sleep(delay)
			return
		}
		time.Sleep(stallPoll)
	}
}
