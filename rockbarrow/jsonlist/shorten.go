// SPDX-License-Identifier: MIT

package jsonlist

import (
	"bytes"
	"io"
)

const (
	// maxRun limits the bytes of a string, or of what stands between other structural characters, that are kept.
	maxRun = 64 << 10
	// leftOut stands for the others in the shortened text. No string may contain it, so that its element can't be read.
	leftOut = '\x00'
	// readSize is the size of one read in bytes.
	readSize = 32 << 10
)

// Text is a JSON text that was read.
type Text struct {
	// Text is without the ends of strings and other tokens that are too long, which costs the elements that have them.
	Text string
	// Size is the number of bytes that were read.
	Size int
	// Whole is true if nothing is behind it.
	Whole bool
}

// Read reads a JSON text up to its end, or until it has read maxRead or kept maxKept bytes. With an error, it returns
// what was read before.
func Read(r io.Reader, maxKept, maxRead int) (*Text, error) {
	s, out, buf := &shortener{}, &Text{}, make([]byte, readSize)
	for {
		n, err := r.Read(buf[:min(readSize, maxRead-out.Size)])
		out.Size += n
		s.add(buf[:n])
		if s.kept.Len() > maxKept {
			s.kept.Truncate(maxKept)
			out.Text = s.kept.String()
			return out, nil
		}
		if err == nil && out.Size < maxRead {
			continue
		}
		out.Text, out.Whole = s.kept.String(), err == io.EOF
		if err == io.EOF {
			err = nil
		}
		return out, err
	}
}

// shortener leaves out what is too long. It needs no nesting, which broken elements hide.
type shortener struct {
	kept bytes.Buffer
	// inString and escaped tell whether the next byte is in a string, and behind a backslash there.
	inString, escaped bool
	// run is the number of bytes of the token, and marked is true once something but white space between tokens was left out.
	run    int
	marked bool
}

// structural are the characters between tokens.
const structural = "{}[],:"

func (s *shortener) add(b []byte) {
	for len(b) > 0 {
		if s.escaped {
			s.escaped = false
			s.token(b[:1])
			b = b[1:]
			continue
		}
		end := structural + `"`
		if s.inString {
			end = `"\\`
		}
		n := bytes.IndexAny(b, end)
		if n < 0 {
			s.token(b)
			return
		}
		s.token(b[:n])
		switch c := b[n]; c {
		case '\\':
			s.escaped = true
			s.token(b[n : n+1])
		default:
			s.inString = s.inString != (c == '"')
			s.run, s.marked = 0, false
			s.kept.WriteByte(c)
		}
		b = b[n+1:]
	}
}

// token adds bytes of a token.
func (s *shortener) token(b []byte) {
	kept := b[:max(0, min(len(b), maxRun-s.run))]
	s.run += len(b)
	s.kept.Write(kept)
	left := b[len(kept):]
	if s.marked || len(left) == 0 || !s.inString && len(bytes.Trim(left, whiteSpace)) == 0 {
		return
	}
	s.marked = true
	s.kept.WriteByte(leftOut)
}
