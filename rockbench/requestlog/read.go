// SPDX-License-Identifier: MIT

package requestlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
)

// ended is the message of the lines about requests, and unread that of requests that were refused before they were read.
const (
	ended  = "request ended"
	unread = "request refused before it was read"
)

// maxLine bounds a line in bytes; longer ones are an error.
const maxLine = 1 << 20

// Line is one request as its instance logged it. Times are in milliseconds.
type Line struct {
	Instance string `json:"instance"`
	Request  string `json:"request"`
	Program  string `json:"program"`
	Service  string `json:"service"`
	Status   int    `json:"status"`
	Reason   string `json:"reason"`
	Offers   int    `json:"offers"`
	Took     int64  `json:"took_ms"`
	// Own was spent on stores, Waited on a place at an endpoint.
	Own    int64 `json:"own_ms"`
	Waited int64 `json:"waited_ms"`
	// Left was left of the program's time when the request came.
	Left  int64  `json:"left_ms"`
	Route string `json:"route"`
	// Key identifies the request over all its attempts. It and Executions are empty if it completed at its first endpoint.
	Key        string      `json:"key"`
	Executions []Execution `json:"executions"`
	// Previous is the turn that the request continues. Stores are those that acknowledged the request's turn, or that do not have
	// the previous one, Incomplete those of the latter that do not hold all records, and View is the epoch under which they replied.
	Previous   string   `json:"previous"`
	Stores     []string `json:"stores"`
	Incomplete []string `json:"incomplete"`
	View       uint64   `json:"view"`
	// RefusedBy is the step that refused the request. StoreReplies are what the stores replied then, Shortfalls is what the replies lack for a
	// quorum, ViewChange is true if the view was changing, and Abandoned is the number of earlier attempts at that.
	RefusedBy    string    `json:"refused_by"`
	StoreReplies []string  `json:"store_replies"`
	Shortfalls   []string  `json:"lacking"`
	ViewChange   bool      `json:"view_change"`
	Abandoned    int       `json:"abandoned"`
	Time         time.Time `json:"time"`
	Message      string    `json:"msg"`
	// At is the time of the line, as in [Event].
	At time.Duration `json:"-"`
}

// event is what a line about an instance holds.
type event struct {
	Instance string    `json:"instance"`
	Role     string    `json:"role"`
	Message  string    `json:"msg"`
	Ready    bool      `json:"ready"`
	Time     time.Time `json:"time"`
	Call     string    `json:"call"`
	Status   int       `json:"status"`
	Version  uint64    `json:"config_version"`
	State    uint64    `json:"state"`
	Table    string    `json:"table"`
	Endpoint string    `json:"endpoint"`
	BornMS   uint64    `json:"born_ms"`
	// InProgress is how many requests an endpoint that ended had, and Participants are some of them.
	InProgress   int `json:"in_progress"`
	Lines        int `json:"lines"`
	Participants []struct {
		Key string `json:"key"`
	} `json:"participants"`
}

// ReadEvents calls yield with each line of an instance about itself, and passes over what
// Read passes over or reads.
func ReadEvents(r io.Reader, yield func(Event)) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for n := 1; s.Scan(); n++ {
		b := s.Bytes()
		at := bytes.IndexByte(b, '{')
		if at < 0 || !bytes.Contains(b[at:], []byte(`"role"`)) && !bytes.Contains(b[at:], []byte(linesDropped)) || bytes.Contains(b[at:], []byte(ended)) {
			continue
		}
		var e event
		if err := json.Unmarshal(b[at:], &e); err != nil {
			return errors.Wrapf(err, "requestlog: line %d", n)
		}
		out := Event{
			At: stamp(b[:at], e.Time), Instance: e.Instance, Role: e.Role, Message: e.Message, Ready: e.Ready,
			Call: e.Call, Status: e.Status, ConfigVersion: e.Version, State: e.State, Table: e.Table, Endpoint: e.Endpoint, BornMS: e.BornMS, InProgress: e.InProgress,
			Lines: e.Lines,
		}
		for _, r := range e.Participants {
			out.Keys = append(out.Keys, r.Key)
		}
		yield(out)
	}
	return errors.Wrap(s.Err(), "requestlog")
}

// stamp is the time of a line: seconds that stand before it, or else its own.
func stamp(before []byte, own time.Time) time.Duration {
	fields := bytes.Fields(before)
	if len(fields) > 0 {
		if seconds, err := strconv.ParseFloat(string(fields[0]), 64); err == nil {
			return time.Duration(seconds * float64(time.Second))
		}
	}
	return time.Duration(own.UnixNano())
}

// Read calls yield with each ended request. What stands before the JSON of a line, such
// as a time and an instance, is passed over, and so are lines without JSON and other
// messages. A line that begins like JSON and is none is an error that names it.
func Read(r io.Reader, yield func(Line)) error { return readLines(r, ended, yield) }

// ReadUnread is Read for requests that were refused before they were read. Their lines have fewer fields.
func ReadUnread(r io.Reader, yield func(Line)) error { return readLines(r, unread, yield) }

func readLines(r io.Reader, message string, yield func(Line)) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 64<<10), maxLine)
	for n := 1; s.Scan(); n++ {
		b := s.Bytes()
		at := bytes.IndexByte(b, '{')
		if at < 0 || !bytes.Contains(b[at:], []byte(message)) {
			continue
		}
		var l Line
		if err := json.Unmarshal(b[at:], &l); err != nil {
			return errors.Wrapf(err, "requestlog: line %d", n)
		}
		if l.Message == message {
			l.At = stamp(b[:at], l.Time)
			yield(l)
		}
	}
	return errors.Wrap(s.Err(), "requestlog")
}
