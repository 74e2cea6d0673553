// SPDX-License-Identifier: MIT

package durable

import (
	"encoding/binary"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"github.com/pkg/errors"
)

// seqSize is the size of a value's number in bytes.
const seqSize = 8

// Cell is one value on a disk. A [Cell.Save] that fails leaves the value before
// it in force.
type Cell struct {
	// folder and name give the two files, name-0 and name-1.
	folder *folder
	name   string

	mu sync.Mutex
	// seq is the number of the newest whole value; its parity names its file.
	seq   uint64
	value []byte
}

// DamagedError says that something on a disk is not what was synced there. Whoever reads it must not go on
// as if it had never been written.
type DamagedError struct {
	// Dir is the folder, What the name of what is damaged in it.
	Dir, What string
}

// Error names the folder and what is damaged.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("durable: %s in %s is damaged", e.What, e.Dir)
}

// OpenCell reads the value that a folder holds under a name. The value of a new
// cell is nil.
func OpenCell(dir, name string) (*Cell, error) {
	f, err := openFolder(dir)
	if err != nil {
		return nil, err
	}
	c := &Cell{folder: f, name: name}
	found := 0
	for i := range uint64(2) {
		b, err := f.read(c.file(i))
		if errors.Is(err, os.ErrNotExist) {
			continue
		}
		if err != nil {
			return nil, errors.Wrap(err, "durable: read a cell")
		}
		found++
		c.adopt(b)
	}
	// Only one file is ever being written, and the second one only once the first is whole.
	if found == 2 && c.seq == 0 {
		return nil, &DamagedError{Dir: dir, What: name}
	}
	return c, nil
}

// HasCell reports whether a folder holds a cell of a name.
func HasCell(dir, name string) (bool, error) {
	for i := range uint64(2) {
		_, err := os.Stat(filepath.Join(dir, cellFile(name, i)))
		if err == nil {
			return true, nil
		}
		if !errors.Is(err, os.ErrNotExist) {
			return false, errors.Wrap(err, "durable: look for a cell")
		}
	}
	return false, nil
}

// adopt takes the value of a file if it is whole and newer.
func (c *Cell) adopt(b []byte) {
	payload, _, ok := nextFrame(b)
	if !ok || len(payload) < seqSize {
		return
	}
	seq := binary.BigEndian.Uint64(payload)
	if seq <= c.seq {
		return
	}
	c.seq, c.value = seq, payload[seqSize:]
}

// file returns the name of the file that holds a value.
func (c *Cell) file(seq uint64) string { return cellFile(c.name, seq) }

func cellFile(name string, seq uint64) string { return name + "-" + string('0'+byte(seq%2)) }

// Value returns the newest saved value; the caller must not change it.
func (c *Cell) Value() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

// Save writes and syncs a new value. The error is a [TooLargeError] if it could not be read back.
func (c *Cell) Save(value []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	seq := c.seq + 1
	payload := binary.BigEndian.AppendUint64(nil, seq)
	payload = append(payload, value...)
	if err := checkSize(payload); err != nil {
		return err
	}
	if err := c.folder.replace(c.file(seq), appendFrame(nil, payload)); err != nil {
		return err
	}
	c.seq, c.value = seq, value
	return nil
}
