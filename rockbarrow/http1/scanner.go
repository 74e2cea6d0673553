// SPDX-License-Identifier: MIT

package http1

import (
	"fmt"
	"math"
	"strings"
	"sync/atomic"
)

// MalformedError reports bytes that the protocol does not allow in a response.
type MalformedError struct {
	// Part is "head", "trailer" or "chunk".
	Part string
	// Reason tells what is wrong.
	Reason string
}

func (e *MalformedError) Error() string {
	return fmt.Sprintf("http1: the %s of the response is malformed: %s", e.Part, e.Reason)
}

// state is what the next byte belongs to.
type state int

const (
	// atStart is before the first byte of a response.
	atStart state = iota
	inStatusLine
	// inBadLine is a status line that is known to be malformed. It is reported at its end.
	inBadLine
	atFieldStart
	inName
	inValue
	inBody
	// inRest is a body that ends with the connection.
	inRest
	inChunkSize
	inChunkExtension
	inChunk
	atChunkEnd
)

// field tells the fields that decide where a body ends from the others.
type field int

const (
	otherField field = iota
	contentLength
	transferEncoding
)

const (
	contentLengthName    = "content-length"
	transferEncodingName = "transfer-encoding"
	// maxFramingValue bounds values of the fields above, in bytes. A length has 19 digits at most.
	maxFramingValue = 24
	// maxChunkDigits bounds the digits of a chunk's size, as net/http does.
	maxChunkDigits = 16
)

// Scanner checks the responses on a connection, and follows where each begins and ends. Its memory does not depend on what it reads.
//
// It accepts less than net/http does. Folded lines, line ends without a carriage return, interim responses, and any number of
// responses are allowed. The zero value is ready for use.
type Scanner struct {
	// headRequest is true while the response is one to a HEAD request, which has no body.
	headRequest atomic.Bool
	// awaited is true from the first byte of a request to the head of its response. Without it, no response may begin if needsRequest is
	// set.
	awaited      atomic.Bool
	needsRequest bool

	state state
	// cr is true after a carriage return that may end a line.
	cr bool
	// reason is that of a bad line.
	reason string
	// column is the position in a status line, or the number of digits of a chunk's size.
	column int
	minor  byte
	status int
	// firstLine is true until a line of the fields has begun.
	firstLine bool
	inTrailer bool
	field     field
	// name and value hold what the field has so far, in lower case, if it may be one that decides where a body ends.
	name      [len(transferEncodingName)]byte
	nameSize  int
	value     [maxFramingValue]byte
	valueSize int
	// space is true if blanks came after the value.
	space     bool
	hasLength bool
	hasCoding bool
	// length is a Content-Length with a number of digits.
	length int64
	digits int
	// left is what remains of a body or a chunk, in bytes.
	left uint64
}

// SetMethod tells the method of the request in progress.
func (s *Scanner) SetMethod(method string) { s.headRequest.Store(method == "HEAD") }

// Scan checks the next bytes. If some are malformed, it returns the number of those before, and a [MalformedError]; the first byte of a
// response is always among them, so that a caller that gets it knows that the response has begun.
func (s *Scanner) Scan(p []byte) (int, error) {
	for i := 0; i < len(p); {
		switch s.state {
		case inRest:
			return len(p), nil
		case inBody, inChunk:
			n := min(uint64(len(p)-i), s.left)
			i += int(n)
			s.skip(n)
			continue
		}
		part, first := s.part(), s.state == atStart
		if reason := s.step(p[i]); reason != "" {
			if first {
				i++
			}
			return i, &MalformedError{Part: part, Reason: reason}
		}
		i++
	}
	return len(p), nil
}

// part names what the next byte belongs to.
func (s *Scanner) part() string {
	switch {
	case s.inTrailer:
		return "trailer"
	case s.state >= inBody:
		return "chunk"
	}
	return "head"
}

// skip passes n bytes of a body or a chunk.
func (s *Scanner) skip(n uint64) {
	s.left -= n
	if s.left > 0 {
		return
	}
	if s.state == inChunk {
		s.state = atChunkEnd
		return
	}
	s.next()
}

// next begins the next response.
func (s *Scanner) next() {
	s.state, s.column, s.status, s.cr = atStart, 0, 0, false
	s.firstLine, s.inTrailer, s.field = false, false, otherField
	s.hasLength, s.hasCoding, s.length = false, false, 0
}

// step checks a byte and returns what is wrong with it, or "".
func (s *Scanner) step(b byte) string {
	if s.cr {
		s.cr = false
		if b == '\n' {
			return s.lineEnd()
		}
		if reason := s.bad("a carriage return inside a line"); reason != "" {
			return reason
		}
		s.cr = b == '\r'
		return ""
	}
	switch {
	case b == '\r':
		s.cr = true
		if s.state == atStart {
			s.state = inStatusLine
		}
		return ""
	case b == '\n' && s.state > inRest:
		return "a line that ends without a carriage return"
	case b == '\n':
		return s.lineEnd()
	}
	switch s.state {
	case atStart:
		if s.needsRequest && !s.awaited.Load() {
			return "bytes that belong to no request"
		}
		s.state = inStatusLine
		return s.statusByte(b)
	case inStatusLine:
		return s.statusByte(b)
	case atFieldStart:
		return s.fieldStart(b)
	case inName:
		return s.nameByte(b)
	case inValue:
		return s.valueByte(b)
	case inChunkSize:
		return s.chunkSizeByte(b)
	case atChunkEnd:
		return "a chunk that is longer than its size"
	}
	return ""
}

// bad returns a reason, or keeps it until the end of the line in a status line: callers tell bytes without a line end, which exceed
// their limit, from a malformed line.
func (s *Scanner) bad(reason string) string {
	switch s.state {
	case inStatusLine:
		s.state, s.reason = inBadLine, reason
	case inBadLine:
	default:
		return reason
	}
	return ""
}

// lineEnd ends a line.
func (s *Scanner) lineEnd() string {
	switch s.state {
	case inBadLine:
		return s.reason
	case atStart, inStatusLine:
		if s.column < 12 {
			return "a status line that is too short"
		}
		s.state, s.firstLine = atFieldStart, true
	case atFieldStart:
		if reason := s.endField(); reason != "" {
			return reason
		}
		if s.inTrailer {
			s.next()
			return ""
		}
		return s.endHead()
	case inName:
		return "a line without a colon"
	case inValue:
		s.state = atFieldStart
	case inChunkSize, inChunkExtension:
		return s.endChunkSize()
	case atChunkEnd:
		s.beginChunkSize()
	}
	return ""
}

func (s *Scanner) fieldStart(b byte) string {
	first := s.firstLine
	s.firstLine = false
	if b == ' ' || b == '\t' {
		if first {
			return "a first line that begins with a blank"
		}
		if s.field == transferEncoding && s.valueSize > 0 {
			return s.notUnderstood()
		}
		s.state, s.space = inValue, true
		return ""
	}
	if reason := s.endField(); reason != "" {
		return reason
	}
	s.state, s.nameSize = inName, 0
	return s.nameByte(b)
}

func (s *Scanner) nameByte(b byte) string {
	if b == ':' {
		return s.endName()
	}
	if !isTokenByte(b) {
		return "a byte in the name of a field that names can't have"
	}
	if s.nameSize < len(s.name) {
		s.name[s.nameSize] = lower(b)
	}
	s.nameSize++
	return ""
}

func (s *Scanner) endName() string {
	if s.nameSize == 0 {
		return "a field without a name"
	}
	s.field = otherField
	if s.nameSize <= len(s.name) {
		switch string(s.name[:s.nameSize]) {
		case contentLengthName:
			s.field = contentLength
		case transferEncodingName:
			s.field = transferEncoding
		}
	}
	s.state, s.valueSize, s.space = inValue, 0, false
	return ""
}

func (s *Scanner) valueByte(b byte) string {
	if !isValueByte(b) {
		return "a control byte in the value of a field"
	}
	if s.field == otherField {
		return ""
	}
	if b == ' ' || b == '\t' {
		s.space = true
		return ""
	}
	if s.space && s.valueSize > 0 || s.valueSize == len(s.value) {
		return s.notUnderstood()
	}
	s.space = false
	s.value[s.valueSize] = lower(b)
	s.valueSize++
	return ""
}

func (s *Scanner) notUnderstood() string { return "a " + s.framingName() + " that is not understood" }

func (s *Scanner) framingName() string {
	if s.field == contentLength {
		return "Content-Length"
	}
	return "Transfer-Encoding"
}

// endField takes the value of a field that has ended.
func (s *Scanner) endField() string {
	f := s.field
	value := s.value[:s.valueSize]
	name := s.framingName()
	s.field = otherField
	if f == otherField || s.inTrailer {
		return ""
	}
	if f == transferEncoding {
		if s.hasCoding || string(value) != "chunked" {
			return "a " + name + " other than chunked"
		}
		s.hasCoding = true
		return ""
	}
	n, ok := parseLength(value)
	if !ok || s.hasLength && (n != s.length || len(value) != s.digits) {
		return "a " + name + " that is no number, or several numbers"
	}
	s.hasLength, s.length, s.digits = true, n, len(value)
	return ""
}

// endHead decides where the body ends.
func (s *Scanner) endHead() string {
	if s.status >= 200 {
		s.awaited.Store(false)
	}
	switch {
	case s.hasCoding && s.hasLength:
		return "both Content-Length and Transfer-Encoding"
	case s.hasCoding && s.minor == 0:
		return "a Transfer-Encoding in HTTP/1.0"
	case s.status < 200 || s.status == 204 || s.status == 304 || s.headRequest.Load():
		s.next()
	case s.hasCoding:
		s.beginChunkSize()
	case !s.hasLength:
		s.state = inRest
	case s.length == 0:
		s.next()
	default:
		s.state, s.left = inBody, uint64(s.length)
	}
	return ""
}

func (s *Scanner) beginChunkSize() { s.state, s.column, s.left = inChunkSize, 0, 0 }

func (s *Scanner) chunkSizeByte(b byte) string {
	digit := strings.IndexByte("0123456789abcdef", lower(b))
	switch {
	case digit >= 0:
		s.column++
		s.left = s.left<<4 | uint64(digit)
		if s.column > maxChunkDigits {
			return "the size of a chunk is too long"
		}
	case s.column > 0 && (b == ';' || b == ' ' || b == '\t'):
		s.state = inChunkExtension
	default:
		return "the size of a chunk is no number"
	}
	return ""
}

func (s *Scanner) endChunkSize() string {
	switch {
	case s.column == 0:
		return "a chunk without a size"
	case s.left > math.MaxInt64:
		return "the size of a chunk is too large"
	case s.left > 0:
		s.state = inChunk
	default:
		s.state, s.inTrailer, s.firstLine = atFieldStart, true, true
	}
	return ""
}
