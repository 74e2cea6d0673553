// SPDX-License-Identifier: MIT

package confighistory

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	"rockbarrow.dev/platform/standin"
)

// document returns a valid document of a version; marks tell several of them apart.
func document(version uint64, mark string) []byte {
	return fmt.Appendf(nil, `{"version":%d,"routes":[{"name":"%s","host":"h","pathPrefix":"/a/","type":"idempotent","timeoutMs":100,"service":"s"}],"services":[{"name":"s"}],"limits":{}}`, version, mark)
}

// script builds histories; times are in milliseconds.
type script struct {
	history History
	begun   time.Time
}

func newScript() *script { return &script{begun: time.Unix(1, 0)} }

func (s *script) at(ms int) time.Time { return s.begun.Add(time.Duration(ms) * time.Millisecond) }

func (s *script) replace(from, to, status int, version uint64, mark string) *script {
	s.history.Add(standin.OperatorCall{Address: "a", Document: document(version, mark), Version: version, Sent: s.at(from), Ended: s.at(to), Status: status})
	return s
}

func (s *script) invalid(from, to, status int, text string) *script {
	s.history.Add(standin.OperatorCall{Address: "a", Document: []byte(text), Invalid: "of the test", Sent: s.at(from), Ended: s.at(to), Status: status})
	return s
}

func (s *script) read(from, to int, text []byte) *script {
	s.history.Add(standin.OperatorCall{Address: "b", Read: true, Sent: s.at(from), Ended: s.at(to), Status: http.StatusOK, Response: text})
	return s
}

// TestEachBrokenPromiseIsSeen guards against a judge that passes over a promise on configurations, or that condemns what may happen.
func TestEachBrokenPromiseIsSeen(t *testing.T) {
	for _, test := range []struct {
		name string
		of   *script
		want string
	}{
		{"a change and a read", newScript().replace(0, 10, 200, 1, "x").read(20, 30, document(1, "x")), ""},
		{"an older version is read", newScript().replace(0, 10, 200, 1, "x").replace(20, 30, 200, 2, "x").read(40, 50, document(1, "x")), "after 2 had been acknowledged"},
		{"an older version is read beside the change", newScript().replace(0, 10, 200, 1, "x").replace(20, 40, 200, 2, "x").read(30, 50, document(1, "x")), ""},
		{"a read goes back, of a change without an answer", newScript().replace(0, 10, 200, 1, "x").replace(20, 30, 0, 2, "x").read(40, 50, document(2, "x")).read(60, 70, document(1, "x")), "no order"},
		{"a change without an answer comes late", newScript().replace(0, 10, 200, 1, "x").replace(20, 30, 503, 2, "x").read(40, 50, document(1, "x")).read(60, 70, document(2, "x")), ""},
		{"a change without an answer comes after a newer one", newScript().replace(0, 10, 503, 2, "x").replace(20, 30, 200, 3, "x").read(40, 50, document(3, "x")).read(60, 70, document(2, "x")), "after 3 had been acknowledged"},
		{"other content of one version is read", newScript().replace(0, 10, 200, 1, "x").replace(20, 30, 200, 1, "y").read(40, 50, document(1, "y")), "no order"},
		{"two contents of one version are read", newScript().replace(0, 30, 200, 1, "x").replace(0, 30, 200, 1, "y").read(40, 50, document(1, "y")).read(60, 70, document(1, "x")), "other content than an earlier read"},
		{"one of two contents of a version is read", newScript().replace(0, 30, 200, 1, "x").replace(0, 30, 200, 1, "y").read(40, 50, document(1, "y")), ""},
		{"what was not sent is read", newScript().replace(0, 10, 200, 1, "x").read(20, 30, document(1, "z")), "content that was not sent"},
		{"what is read is cut", newScript().replace(0, 10, 200, 1, "x").read(20, 30, document(1, "x")[:40]), "not readable"},
		{"an invalid one is acknowledged", newScript().invalid(0, 10, 200, ""), "acknowledged an invalid"},
		{"an invalid one is refused", newScript().invalid(0, 10, 400, ""), ""},
		{"an invalid one is read", newScript().invalid(0, 10, 400, `{"version":5}`).read(20, 30, []byte(`{"version":5}`)), "returned an invalid"},
		{"a valid one is refused", newScript().replace(0, 10, 400, 1, "x"), "refused a valid"},
		{"a valid one is refused when it is sent again", newScript().replace(0, 10, 200, 1, "x").replace(20, 30, 409, 1, "x"), "refused a valid"},
		{"a valid one is to be sent again", newScript().replace(0, 10, 408, 1, "x").replace(20, 30, 429, 1, "x").replace(40, 50, 503, 1, "x"), ""},
	} {
		v := test.of.history.Judge(time.Minute)
		got := strings.Join(v.Violations, "\n")
		if v.Undecided || (test.want == "") != (got == "") || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q, undecided %v, want %q", test.name, got, v.Undecided, test.want)
		}
	}
}

// TestManyCallsAreJudgedInTime guards against a judge that comes to no end with lost answers and overlapping calls, and against one
// that misses a single read that goes back among thousands.
func TestManyCallsAreJudgedInTime(t *testing.T) {
	for _, back := range []bool{false, true} {
		r := rand.New(rand.NewPCG(1, 1))
		s, now, current := newScript(), 0, uint64(0)
		for version := uint64(1); version < 400; version++ {
			status := []int{http.StatusOK, 0, http.StatusServiceUnavailable}[r.IntN(3)]
			for range r.IntN(100) {
				// The same document is sent again and again while nobody answers.
				s.replace(now+r.IntN(20), now+20, 0, version, "x")
			}
			s.replace(now, now+20, status, version, "x")
			if status == http.StatusOK || r.IntN(2) == 0 {
				current = version
			}
			if current == 0 {
				continue
			}
			for range 4 {
				s.read(now+21, now+21+r.IntN(20), document(current, "x"))
			}
			if back && version == 300 {
				s.replace(now+42, now+43, 0, 1000, "x").read(now+44, now+45, document(1000, "x")).read(now+46, now+47, document(current, "x"))
			}
			now += 50
		}
		v := s.history.Judge(time.Minute)
		if v.Undecided || (len(v.Violations) > 0) != back {
			t.Errorf("a read goes back %v: %+v", back, v)
		}
	}
}
