// SPDX-License-Identifier: MIT

// Package caller serves callers by HTTP: runs and their calls, the
// chat-completions form, and plain services.
//
// Every answer that is not a success is a problem details object (RFC 9457)
// with a stable type. Streams are server-sent events whose ids carry the attempt
// and the offset, so that Last-Event-ID resumes them.
package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/membudget"
	"rockbarrow.dev/rockbarrow/problem"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/peerpb"
)

// The headers of the callers' interface.
const (
	HeaderRun         = "Rockbarrow-Run"
	HeaderKey         = "Idempotency-Key"
	HeaderLastEventID = "Last-Event-ID"
	HeaderSequence    = "Rockbarrow-Sequence"
)

// maxKey bounds a request id.
const maxKey = 128

// Router carries a request to the run's owner.
type Router interface {
	Do(ctx context.Context, req *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error
}

// Server serves callers. Set the exported fields before Handler.
type Server struct {
	Instance string
	Domain   string
	Router   Router
	Config   func() *control.Snapshot
	// Ready tells why the instance is not ready, or "".
	Ready func() string
	// HomeFor chooses the home and id of a new run.
	Homes Homes
	// MaxBody bounds a request's body in bytes.
	MaxBody int64
	// MaxStreams bounds requests under way.
	MaxStreams int
	// Bodies bounds what the bodies of all requests under way take; nil means no limit.
	Bodies *membudget.Budget
	// BodyTimeout bounds the time in which a request's body arrives; 0 means no limit.
	BodyTimeout time.Duration
	// Stop has the moments of a planned stop.
	Stop    Stop
	Metrics tally.Scope
	// MetricsPage serves /metrics.
	MetricsPage http.Handler
	Log         *logrus.Entry

	streams chan struct{}
}

// Homes names new runs.
type Homes interface {
	// NewRunID returns a new run's id: at random, or for a key always the same. It
	// fails when no allowed failure domain can take it.
	NewRunID(customer, key string, b control.Binding) (string, *peerpb.Problem)
}

// Handler returns the mux of all pages.
func (s *Server) Handler() http.Handler {
	s.streams = make(chan struct{}, s.MaxStreams)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.healthz)
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.Handle("GET /metrics", s.MetricsPage)
	mux.Handle("POST /v1/programs/{program}/runs", s.guard(s.createRun))
	mux.Handle("GET /v1/runs/{run}", s.guard(s.readRun))
	mux.Handle("GET /v1/runs/{run}/history", s.guard(s.readHistory))
	mux.Handle("DELETE /v1/runs/{run}", s.guard(s.endRun))
	mux.Handle("POST /v1/runs/{run}/calls", s.guard(s.call))
	mux.Handle("POST /v1/chat/completions", s.guard(s.chat))
	mux.Handle("POST /v1/services/{service}", s.guard(s.service))
	mux.HandleFunc("/", s.notFound)
	return mux
}

func (s *Server) healthz(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "ok\n") }

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := s.Ready(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ready\n")
}

func (s *Server) notFound(w http.ResponseWriter, r *http.Request) {
	s.refuse(w, problem.New(problem.NotFound, "no page "+r.Method+" "+r.URL.Path))
}

// request is one request of a known customer.
type request struct {
	w        http.ResponseWriter
	r        *http.Request
	customer *configpb.Customer
	snapshot *control.Snapshot
	server   *Server
	// memory is charged for the body.
	memory *membudget.Account
}

// guard knows the customer and bounds what is under way.
func (s *Server) guard(serve func(*request) *peerpb.Problem) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		select {
		case s.streams <- struct{}{}:
			defer func() { <-s.streams }()
		default:
			s.refuse(w, problem.Retry(problem.Overloaded, "too many requests are under way at this instance", time.Second))
			return
		}
		ctx, cancel := s.Stop.limit(r.Context())
		defer cancel()
		r = r.WithContext(ctx)
		r.Body = http.MaxBytesReader(w, r.Body, s.MaxBody)
		snapshot := s.Config()
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		customer, known := snapshot.CustomerOfKey(key)
		if !ok || !known {
			s.Metrics.Counter("keys_refused").Inc(1)
			s.refuse(w, problem.New(problem.Unauthorized, "the Authorization header must carry a bearer key that is known"))
			return
		}
		req := &request{w: w, r: r, customer: customer, snapshot: snapshot, server: s, memory: s.Bodies.Open(nil)}
		defer req.memory.Close()
		if p := serve(req); p != nil {
			s.refuse(w, p)
		}
		s.Metrics.Timer("request").Record(time.Since(start))
	})
}

// refuse writes a problem details object.
func (s *Server) refuse(w http.ResponseWriter, p *peerpb.Problem) {
	s.Metrics.Tagged(map[string]string{"type": p.GetType()}).Counter("problems").Inc(1)
	w.Header().Set("Content-Type", "application/problem+json")
	if after := p.GetRetryAfterMs(); after > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(after+999)/1000))
	}
	w.WriteHeader(int(p.GetStatus()))
	json.NewEncoder(w).Encode(pageOf(p))
}

// problemPage is the wire form of a problem.
type problemPage struct {
	Type         string `json:"type"`
	Title        string `json:"title"`
	Status       uint32 `json:"status"`
	Detail       string `json:"detail"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMS uint32 `json:"retry_after_ms,omitempty"`
}

func pageOf(p *peerpb.Problem) problemPage {
	return problemPage{
		Type:         "urn:rockbarrow:" + p.GetType(),
		Title:        p.GetTitle(),
		Status:       p.GetStatus(),
		Detail:       p.GetDetail(),
		NotRun:       p.GetNotRun(),
		RetryAfterMS: p.GetRetryAfterMs(),
	}
}

// decode reads a JSON body; an empty one is allowed where optional is true.
func (q *request) decode(out any, optional bool) *peerpb.Problem {
	b, p := q.body()
	if p != nil {
		return p
	}
	if len(b) == 0 && optional {
		return nil
	}
	return Decode(b, out)
}

// Decode reads a caller's JSON strictly: unknown fields are refused.
func Decode(b []byte, out any) *peerpb.Problem {
	d := json.NewDecoder(strings.NewReader(string(b)))
	d.DisallowUnknownFields()
	if err := d.Decode(out); err != nil {
		return problem.New(problem.BadRequest, "body: "+err.Error())
	}
	if d.More() {
		return problem.New(problem.BadRequest, "body: holds more than one value")
	}
	return nil
}

func (q *request) body() ([]byte, *peerpb.Problem) {
	b, err := q.readBody()
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, problem.New(problem.TooLarge, "body: more than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	var usedUp *membudget.UsedUpError
	if errors.As(err, &usedUp) {
		return nil, q.memoryRefusal()
	}
	if p := q.lateBody(err); p != nil {
		return nil, p
	}
	if err != nil {
		return nil, problem.New(problem.BadRequest, "body: "+err.Error())
	}
	return b, nil
}

// key returns the request id, which may be empty.
func (q *request) key() (string, *peerpb.Problem) {
	k := q.r.Header.Get(HeaderKey)
	if len(k) > maxKey {
		return "", problem.New(problem.BadRequest, HeaderKey+": more than "+strconv.Itoa(maxKey)+" bytes")
	}
	return k, nil
}

func (q *request) json(status int, v any) {
	q.w.Header().Set("Content-Type", "application/json")
	q.w.WriteHeader(status)
	json.NewEncoder(q.w).Encode(v)
}
