// SPDX-License-Identifier: MIT

package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"rockbarrow.dev/schema/peerpb"
)

// EventID returns the id of an event: the attempt and the offset behind it.
func EventID(attempt uint32, offset uint64) string { return fmt.Sprintf("%d.%d", attempt, offset) }

// ParseEventID reads an event's id.
func ParseEventID(id string) (attempt uint32, offset uint64, err error) {
	a, o, ok := strings.Cut(id, ".")
	if !ok {
		return 0, 0, errors.New("must be ATTEMPT.OFFSET")
	}
	n, err := strconv.ParseUint(a, 10, 32)
	if err != nil {
		return 0, 0, errors.New("the attempt must be a number")
	}
	offset, err = strconv.ParseUint(o, 10, 63)
	if err != nil {
		return 0, 0, errors.New("the offset must be a number")
	}
	return uint32(n), offset, nil
}

// events is the form in which a stream is written: [callEvents] or
// [chatEvents].
type events interface {
	// delta writes a part of the answer.
	delta(w *eventWriter, d *peerpb.Delta)
	// restart writes that what came before no longer counts.
	restart(w *eventWriter, attempt uint32)
	// final writes the end, after the whole content was written.
	final(w *eventWriter, f *peerpb.Final)
}

// eventWriter writes server-sent events and remembers how much the caller has.
type eventWriter struct {
	q       *request
	begun   bool
	attempt uint32
	offset  uint64
	err     error
}

// stream serves a call as server-sent events. A problem before the first event
// is an ordinary answer; after it, it is the stream's last event.
func (q *request) stream(req *peerpb.DoRequest, form events) *peerpb.Problem {
	w := &eventWriter{q: q, attempt: req.GetTurn().GetResumeAttempt(), offset: req.GetTurn().GetResumeOffset()}
	var refused *peerpb.Problem
	err := q.server.Router.Do(q.r.Context(), req, func(e *peerpb.DoEvent) error {
		if p := e.GetProblem(); p != nil {
			refused = p
			return nil
		}
		w.take(e, form)
		return w.err
	})
	if refused != nil && !w.begun {
		return refused
	}
	if refused != nil {
		w.write("problem", "", pageOf(refused))
	}
	if err != nil {
		q.server.Log.WithError(err).Debug("a stream ended early")
	}
	return nil
}

func (w *eventWriter) take(e *peerpb.DoEvent, form events) {
	switch b := e.GetBody().(type) {
	case *peerpb.DoEvent_Delta:
		w.delta(b.Delta, form)
	case *peerpb.DoEvent_Final:
		w.rest(b.Final, form)
		form.final(w, b.Final)
	}
}

func (w *eventWriter) delta(d *peerpb.Delta, form events) {
	if d.GetAttempt() != w.attempt {
		// A change of the attempt starts over, even when no owner said so.
		if w.attempt != 0 && (w.offset > 0 || d.GetRestart()) {
			form.restart(w, d.GetAttempt())
		}
		w.attempt = d.GetAttempt()
		w.offset = 0
	}
	end := d.GetOffset() + uint64(len(d.GetContent()))
	if d.GetContent() == "" || end <= w.offset || d.GetOffset() > w.offset {
		return
	}
	part := &peerpb.Delta{Attempt: d.GetAttempt(), Offset: w.offset, Content: d.GetContent()[w.offset-d.GetOffset():]}
	w.offset = end
	form.delta(w, part)
}

// rest writes what the caller lacks of a stored answer.
func (w *eventWriter) rest(f *peerpb.Final, form events) {
	a := f.GetAnswered()
	w.delta(&peerpb.Delta{Attempt: a.GetAttempt(), Content: a.GetContent()}, form)
}

// write writes one event; kind and id may be empty.
func (w *eventWriter) write(kind, id string, v any) {
	if w.err != nil {
		return
	}
	if !w.begun {
		w.begun = true
		h := w.q.w.Header()
		h.Set("Content-Type", "text/event-stream")
		h.Set("Cache-Control", "no-store")
		w.q.w.WriteHeader(http.StatusOK)
	}
	b, err := json.Marshal(v)
	if err != nil {
		w.err = err
		return
	}
	var text strings.Builder
	if kind != "" {
		text.WriteString("event: " + kind + "\n")
	}
	if id != "" {
		text.WriteString("id: " + id + "\n")
	}
	text.WriteString("data: " + string(b) + "\n\n")
	w.flush(text.String())
}

func (w *eventWriter) flush(text string) {
	if _, err := w.q.w.Write([]byte(text)); err != nil {
		w.err = err
		return
	}
	if err := http.NewResponseController(w.q.w).Flush(); err != nil {
		w.err = err
	}
}

// callEvents is the form of the calls of a run.
type callEvents struct{ run string }

type deltaPage struct {
	Attempt uint32 `json:"attempt"`
	Offset  uint64 `json:"offset"`
	Content string `json:"content"`
}

type restartPage struct {
	Attempt uint32 `json:"attempt"`
}

func (c *callEvents) delta(w *eventWriter, d *peerpb.Delta) {
	w.write("delta", EventID(d.GetAttempt(), w.offset), deltaPage{Attempt: d.GetAttempt(), Offset: d.GetOffset(), Content: d.GetContent()})
}

func (c *callEvents) restart(w *eventWriter, attempt uint32) {
	w.write("restart", EventID(attempt, 0), restartPage{Attempt: attempt})
}

func (c *callEvents) final(w *eventWriter, f *peerpb.Final) {
	w.write("final", EventID(f.GetAnswered().GetAttempt(), w.offset), answerOf(c.run, f))
}
