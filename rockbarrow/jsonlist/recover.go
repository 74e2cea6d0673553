// SPDX-License-Identifier: MIT

package jsonlist

import (
	"encoding/json"
	"io"
	"strings"

	"github.com/pkg/errors"
)

const (
	// maxRecoveredBytes limits an element behind one whose bounds are not recognizable.
	maxRecoveredBytes = 64 << 10
	// recoveryFactor limits the work of a recovery, in bytes, as a multiple of those of the list. A try has the work of
	// tryBytes beside what it scans.
	recoveryFactor = 8
	tryBytes       = 512
	// minWork is the least work of a recovery in bytes.
	minWork = 1 << 20
)

// recovery splits a list with an element whose bounds are not recognizable. Its elements are valid objects between commas, and
// it ends at the first bracket behind which the object around it goes on to its end.
type recovery struct {
	// left is the work that is left, for the end and then for the elements.
	left int
	// incomplete is true if elements may be missing.
	incomplete bool

	elements   []string
	unreadable []string
}

// run splits the list that a text begins with, and returns its size.
func (r *recovery) run(text string) int {
	work := recoveryFactor*len(text) + minWork
	r.left = work
	end := r.end(text)
	r.left = work
	if end < 0 {
		r.incomplete = true
		r.scan(text[1:], false)
		return len(text)
	}
	r.scan(text[1:end], true)
	return end + 1
}

// end returns where the list ends in its text, which goes on to the end of the object, or -1.
func (r *recovery) end(text string) int {
	for at := 0; ; at++ {
		next := strings.IndexByte(text[at:], ']')
		if next < 0 || r.left <= 0 {
			return -1
		}
		at += next
		err := checkRest(text[at+1:])
		r.spend(err, len(text)-at)
		if err == nil {
			return at
		}
	}
}

// isRest reports whether a text is what may follow a list in an object, up to the object's end.
func isRest(text string) bool { return checkRest(text) == nil }

func checkRest(text string) error {
	d := json.NewDecoder(io.MultiReader(strings.NewReader(`{"":[]`), strings.NewReader(text)))
	var object json.RawMessage
	if err := d.Decode(&object); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("jsonlist: the object is followed by something")
	}
	return nil
}

// spend counts the work of a try that scanned all of a size, or what is before the error.
func (r *recovery) spend(err error, size int) {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		size = min(size, int(syntax.Offset))
	}
	r.left -= tryBytes + size
}

// scan collects the elements of a list without its brackets. If its end is not known, the last one is left out, which may have
// taken in what is behind the list.
func (r *recovery) scan(text string, endKnown bool) {
	gap := 0
	for at := 0; ; {
		next := strings.IndexByte(text[at:], '{')
		if next < 0 {
			break
		}
		at += next
		if r.left <= 0 {
			r.incomplete = true
			break
		}
		object := r.object(text[at:])
		if object == "" {
			at++
			continue
		}
		// An object that is no element may have elements of its own, which are none of the list.
		end := at + len(object)
		before, behind := strings.TrimRight(text[:at], whiteSpace), strings.TrimLeft(text[end:], whiteSpace)
		begins := before == "" || strings.HasSuffix(before, ",")
		ends := strings.HasPrefix(behind, ",") || behind == "" && endKnown
		if begins && ends {
			r.addGap(text[gap:at])
			r.elements = append(r.elements, object)
			gap = end
		}
		at = end
	}
	r.addGap(text[gap:])
}

// object returns the valid object at the beginning of a text, or "".
func (r *recovery) object(text string) string {
	window := text[:min(len(text), maxRecoveredBytes)]
	d := json.NewDecoder(strings.NewReader(window))
	var raw json.RawMessage
	if err := d.Decode(&raw); err != nil {
		r.spend(err, len(window))
		r.incomplete = r.incomplete || len(window) < len(text) && !isSyntaxError(err)
		return ""
	}
	r.spend(nil, int(d.InputOffset()))
	return window[:d.InputOffset()]
}

func isSyntaxError(err error) bool {
	var syntax *json.SyntaxError
	return errors.As(err, &syntax)
}

// addGap adds what is between two elements, unless it is nothing.
func (r *recovery) addGap(text string) {
	if gap := strings.Trim(text, ","+whiteSpace); gap != "" {
		r.unreadable = append(r.unreadable, gap)
	}
}
