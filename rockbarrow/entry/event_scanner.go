// SPDX-License-Identifier: MIT

package entry

import (
	"bytes"
	"strconv"
)

// eventScanner splits a stream of server-sent events and returns complete events only. A
// stream may come from several endpoints in succession; events that an earlier one has sent
// are dropped. The zero value is ready to use.
type eventScanner struct {
	// dropOutput is true if output is not needed.
	dropOutput bool
	// output is the data of all events, each followed by a line feed.
	output []byte
	// count is the number of complete events.
	count int
	// lastID is the id of the last event that was passed to the client, or "".
	lastID string
	// maxOutput limits output in bytes; 0 means no limit.
	maxOutput int
	// passedBytes are those of all complete events with data. unpassedBytes are those of the current source since the last event
	// with data that was not sent before.
	passedBytes, unpassedBytes int64

	// complete holds the bytes of complete events that were not taken yet, partial those of
	// the current event.
	complete, partial []byte
	line              []byte
	// id and data are those of the current event. hasData is true if it has a data field.
	id      string
	data    []byte
	hasData bool
}

// startSource must be called before the bytes of each endpoint. It drops the incomplete event of
// the previous one.
func (s *eventScanner) startSource() {
	s.partial, s.line, s.data = s.partial[:0], s.line[:0], s.data[:0]
	s.id, s.hasData = "", false
	s.unpassedBytes = 0
}

// scan processes the next bytes of the stream.
func (s *eventScanner) scan(b []byte) {
	for {
		i := bytes.IndexByte(b, '\n')
		if i < 0 {
			s.line = append(s.line, b...)
			s.partial = append(s.partial, b...)
			s.unpassedBytes += int64(len(b))
			return
		}
		s.line = append(s.line, b[:i]...)
		s.partial = append(s.partial, b[:i+1]...)
		s.unpassedBytes += int64(i + 1)
		s.endLine(bytes.TrimSuffix(s.line, []byte("\r")))
		s.line = s.line[:0]
		b = b[i+1:]
	}
}

// takeComplete returns the bytes of the events completed since the last call. They are valid
// until the next scan.
func (s *eventScanner) takeComplete() []byte {
	out := s.complete
	s.complete = s.complete[:0]
	return out
}

func (s *eventScanner) endLine(line []byte) {
	if len(line) == 0 {
		s.endEvent()
		return
	}
	if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
		s.id = string(bytes.TrimSpace(value))
		return
	}
	value, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok {
		return
	}
	s.hasData = true
	s.data = append(s.data, bytes.TrimPrefix(value, []byte(" "))...)
	s.data = append(s.data, '\n')
}

func (s *eventScanner) endEvent() {
	if !s.hasData || !alreadyPassed(s.id, s.lastID) {
		s.complete = append(s.complete, s.partial...)
		if s.hasData {
			s.count++
			s.passedBytes += int64(len(s.partial))
			s.unpassedBytes = 0
			if !s.dropOutput {
				s.output = append(s.output, s.data...)
			}
		}
		if s.id != "" {
			s.lastID = s.id
		}
	}
	s.partial, s.data = s.partial[:0], s.data[:0]
	s.id, s.hasData = "", false
}

// alreadyPassed reports whether the event was passed on before. Event ids are increasing numbers.
func alreadyPassed(id, lastID string) bool {
	n, err := strconv.ParseUint(id, 10, 63)
	if err != nil {
		return false
	}
	m, err := strconv.ParseUint(lastID, 10, 63)
	return err == nil && n <= m
}

// isComplete reports whether the stream has at least one event and does not end inside one.
func (s *eventScanner) isComplete() bool {
	return (s.count > 0 || s.lastID != "") && len(s.partial) == 0
}

// checkLimits returns an [OversizedError] if an event or the output is too long, or if the source sends too much without a
// new event. A source that resumes may repeat what was passed before.
func (s *eventScanner) checkLimits() error {
	switch {
	case len(s.partial) > maxEventBytes || s.unpassedBytes > maxEventBytes+s.passedBytes:
		return &OversizedError{Part: PartEvent, Limit: maxEventBytes}
	case s.maxOutput > 0 && len(s.output) > s.maxOutput:
		return &OversizedError{Part: PartTurn, Limit: int64(s.maxOutput)}
	}
	return nil
}

// heldBytes returns the size of all buffers.
func (s *eventScanner) heldBytes() int {
	return cap(s.output) + cap(s.complete) + cap(s.partial) + cap(s.line) + cap(s.data)
}
