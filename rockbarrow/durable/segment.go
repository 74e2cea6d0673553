// SPDX-License-Identifier: MIT

package durable

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

const (
	// segmentID begins the name of a segment, and segmentDigits is how many digits follow.
	segmentID     = "records-"
	segmentDigits = 10
)

// HasLog reports whether a folder holds a log.
func HasLog(dir string) (bool, error) {
	list, err := segments(dir)
	return len(list) > 0, err
}

// segment is one file of a log.
type segment struct {
	name   string
	number uint64
}

func segmentName(number uint64) string {
	return fmt.Sprintf("%s%0*d", segmentID, segmentDigits, number)
}

// segments returns those of a folder, oldest first. What else is there has another owner and is left alone.
func segments(dir string) ([]segment, error) {
	list, err := os.ReadDir(dir)
	if err != nil {
		return nil, errors.Wrap(err, "durable: list the data folder")
	}
	var out []segment
	for _, e := range list {
		if number, ok := segmentNumber(e); ok {
			out = append(out, segment{name: e.Name(), number: number})
		}
	}
	slices.SortFunc(out, func(a, b segment) int { return cmp.Compare(a.number, b.number) })
	return out, nil
}

// segmentNumber returns a segment's number, if the entry of a folder is one.
func segmentNumber(e os.DirEntry) (uint64, bool) {
	digits, ok := strings.CutPrefix(e.Name(), segmentID)
	if !ok || len(digits) != segmentDigits || !e.Type().IsRegular() {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 10, 64)
	return number, err == nil
}

// replay hands over a segment's records up to the first broken one. The rest of
// the segment was never synced; a later segment starts anew.
func (l *Log) replay(s segment, replay func([]byte) error) error {
	l.number = max(l.number, s.number)
	b, err := l.folder.read(s.name)
	if err != nil {
		return errors.Wrap(err, "durable: read a segment")
	}
	l.size += int64(len(b))
	for {
		payload, rest, ok := nextFrame(b)
		if !ok {
			return nil
		}
		if err := replay(payload); err != nil {
			return err
		}
		b = rest
	}
}
