// SPDX-License-Identifier: MIT

package caller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// fakeRouter answers every request with the same events.
type fakeRouter struct {
	events []*peerpb.DoEvent
	got    []*peerpb.DoRequest
}

func (f *fakeRouter) Do(_ context.Context, req *peerpb.DoRequest, emit func(*peerpb.DoEvent) error) error {
	f.got = append(f.got, req)
	for _, e := range f.events {
		if err := emit(e); err != nil {
			return err
		}
	}
	return nil
}

type fakeHomes struct{}

func (fakeHomes) NewRunID(_, key string, _ control.Binding) (string, *peerpb.Problem) {
	return "east.run" + key, nil
}

func serve(t *testing.T, r *fakeRouter) *httptest.Server {
	t.Helper()
	return serveWith(t, r, func(*Server) {})
}

// serveWith serves with a server that is changed first.
func serveWith(t *testing.T, r Router, change func(*Server)) *httptest.Server {
	t.Helper()
	snapshot := control.NewSnapshot(&configpb.Document{
		Version:   3,
		Customers: []*configpb.Customer{{Name: "club", KeyHashes: []string{control.HashKey("k")}}, {Name: "other", KeyHashes: []string{control.HashKey("o")}}},
		Programs:  []*configpb.Program{{Name: "coach", Customer: "club", Binding: "b", BudgetTokens: 100}},
		Bindings:  []*configpb.Binding{{Name: "b", Domains: []string{"east"}}, {Name: "strict", Domains: []string{"east"}, ForbidRelay: true}},
		Services:  []*configpb.Service{{Name: "pairings", Binding: "b"}, {Name: "private", Binding: "strict", Repeatable: true}},
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &Server{
		Instance: "w1", Domain: "west", Router: r, Config: func() *control.Snapshot { return snapshot }, Ready: func() string { return "" },
		Homes: fakeHomes{}, MaxBody: 4096, MaxStreams: 8, Metrics: tally.NoopScope, MetricsPage: http.NotFoundHandler(), Log: logrus.NewEntry(log),
	}
	change(s)
	srv := httptest.NewServer(s.Handler())
	t.Cleanup(srv.Close)
	return srv
}

// ask sends a request and returns its status and body.
func ask(t *testing.T, srv *httptest.Server, method, path, key, body string, header ...string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(method, srv.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := srv.Client().Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

func wantType(t *testing.T, status int, body string, wantStatus int, wantType string, notRun bool) {
	t.Helper()
	var p problemPage
	if err := json.Unmarshal([]byte(body), &p); err != nil {
		t.Fatalf("body %q is no problem: %v", body, err)
	}
	if status != wantStatus || p.Type != "urn:rockbarrow:"+wantType || p.NotRun != notRun {
		t.Fatalf("%d %+v, want %d %s with not_run %v", status, p, wantStatus, wantType, notRun)
	}
}

const goodCall = `{"sequence": 1, "messages": [{"role": "user", "content": "hi"}]}`

func TestBadInputIsATypedError(t *testing.T) {
	srv := serve(t, &fakeRouter{})
	const calls = "/v1/runs/east.run/calls"
	for _, c := range []struct {
		method, path, key, body, want string
		status                        int
		header                        []string
	}{
		{"POST", calls, "unknown", goodCall, "unauthorized", 401, nil},
		{"POST", calls, "k", `{"sequence": 1`, "bad_request", 400, nil},
		{"POST", calls, "k", `{"sequence": "one"}`, "bad_request", 400, nil},
		{"POST", calls, "k", `{"sequence": 1, "colour": 2}`, "bad_request", 400, nil},
		{"POST", calls, "k", goodCall + goodCall, "bad_request", 400, nil},
		{"POST", calls, "k", `{"sequence": 0, "messages": []}`, "bad_request", 400, nil},
		{"POST", calls, "k", `{"sequence": 1, "messages": []}`, "bad_request", 400, nil},
		{"POST", calls, "k", `{"sequence": 1, "messages": [{"role": "wizard", "content": ""}]}`, "bad_request", 400, nil},
		{"POST", calls, "k", `{"sequence": 1, "messages": [{"role": "user", "content": "` + strings.Repeat("x", 5000) + `"}]}`, "too_large", 413, nil},
		{"POST", calls, "k", goodCall, "bad_request", 400, []string{HeaderLastEventID, "x"}},
		{"POST", calls, "k", goodCall, "bad_request", 400, []string{HeaderKey, strings.Repeat("k", 200)}},
		{"POST", "/v1/programs/ghost/runs", "k", "", "not_found", 404, nil},
		{"POST", "/v1/programs/coach/runs", "o", "", "not_found", 404, nil},
		{"GET", "/v1/runs/east.run/history?limit=0", "k", "", "bad_request", 400, nil},
		{"GET", "/v1/nothing", "k", "", "not_found", 404, nil},
		{"POST", "/v1/services/ghost", "k", "{}", "not_found", 404, nil},
		{"POST", "/v1/services/pairings", "k", "{}", "bad_request", 400, nil},
		{"POST", "/v1/services/private", "k", "{}", "place_forbidden", 421, nil},
		{"POST", "/v1/chat/completions", "k", `{"model": "ghost", "messages": [{"role": "user", "content": "x"}]}`, "not_found", 404, nil},
	} {
		status, body := ask(t, srv, c.method, c.path, c.key, c.body, c.header...)
		wantType(t, status, body, c.status, c.want, true)
	}
}

func delta(attempt uint32, offset uint64, content string, restart bool) *peerpb.DoEvent {
	return &peerpb.DoEvent{Body: &peerpb.DoEvent_Delta{Delta: &peerpb.Delta{Attempt: attempt, Offset: offset, Content: content, Restart: restart}}}
}

func finish(attempt uint32, content string) *peerpb.DoEvent {
	return &peerpb.DoEvent{Body: &peerpb.DoEvent_Final{Final: &peerpb.Final{Answered: &recordpb.Answered{Sequence: 1, Attempt: attempt, Content: content, FinishReason: "stop"}}}}
}

// kinds returns the event names of a stream, and the content since the last
// restart.
func kinds(stream string) (names []string, content string) {
	for _, block := range strings.Split(stream, "\n\n") {
		var kind string
		for _, line := range strings.Split(block, "\n") {
			if v, ok := strings.CutPrefix(line, "event: "); ok {
				kind = v
				names = append(names, kind)
			}
			if v, ok := strings.CutPrefix(line, "data: "); ok && kind == "delta" {
				var d deltaPage
				if json.Unmarshal([]byte(v), &d) == nil {
					content += d.Content
				}
			}
		}
		if kind == "restart" {
			content = ""
		}
	}
	return names, content
}

const streamed = `{"sequence": 1, "stream": true, "messages": [{"role": "user", "content": "hi"}]}`

func TestStreamRestartsUnderAnotherAttempt(t *testing.T) {
	srv := serve(t, &fakeRouter{events: []*peerpb.DoEvent{delta(1, 0, "wrong", false), delta(2, 0, "", true), delta(2, 0, "right", false), finish(2, "right answer")}})
	_, body := ask(t, srv, "POST", "/v1/runs/east.run/calls", "k", streamed)
	names, content := kinds(body)
	if got := strings.Join(names, " "); got != "delta restart delta delta final" || content != "right answer" {
		t.Fatalf("events %q with content %q", got, content)
	}
}

func TestStreamResumesAtTheOffset(t *testing.T) {
	r := &fakeRouter{events: []*peerpb.DoEvent{finish(1, "hello world")}}
	srv := serve(t, r)
	_, body := ask(t, srv, "POST", "/v1/runs/east.run/calls", "k", streamed, HeaderLastEventID, "1.6")
	if _, content := kinds(body); content != "world" {
		t.Fatalf("resumed with %q, want world", content)
	}
	if turn := r.got[0].GetTurn(); turn.GetResumeAttempt() != 1 || turn.GetResumeOffset() != 6 {
		t.Fatalf("asked the owner for %v", turn)
	}
}

func TestChatStreamEndsAsItsFormSays(t *testing.T) {
	srv := serve(t, &fakeRouter{events: []*peerpb.DoEvent{delta(1, 0, "hi", false), finish(1, "hi")}})
	_, body := ask(t, srv, "POST", "/v1/chat/completions", "k", `{"model": "coach", "stream": true, "messages": [{"role": "user", "content": "x"}]}`, HeaderRun, "east.run")
	if !strings.HasSuffix(body, "data: [DONE]\n\n") || !strings.Contains(body, `"finish_reason":"stop"`) {
		t.Fatalf("stream %q", body)
	}
}

func TestProblemAfterTheFirstEventEndsTheStream(t *testing.T) {
	p := &peerpb.DoEvent{Body: &peerpb.DoEvent_Problem{Problem: &peerpb.Problem{Type: "endpoint_failed", Status: 502}}}
	srv := serve(t, &fakeRouter{events: []*peerpb.DoEvent{delta(1, 0, "hi", false), p}})
	status, body := ask(t, srv, "POST", "/v1/runs/east.run/calls", "k", streamed)
	if names, _ := kinds(body); status != 200 || strings.Join(names, " ") != "delta problem" {
		t.Fatalf("%d with %v", status, names)
	}
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte(goodCall))
	f.Add([]byte(`{"sequence": -1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		var c callPage
		if p := Decode(b, &c); p == nil {
			_, _ = toMessages(c.Messages)
		}
	})
}

func FuzzParseEventID(f *testing.F) {
	f.Add("1.0")
	f.Fuzz(func(t *testing.T, id string) {
		a, o, err := ParseEventID(id)
		if err != nil {
			return
		}
		if a2, o2, err := ParseEventID(EventID(a, o)); err != nil || a2 != a || o2 != o {
			t.Fatalf("%q reads as %d.%d and back as %d.%d, %v", id, a, o, a2, o2, err)
		}
	})
}
