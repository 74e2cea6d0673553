// SPDX-License-Identifier: MIT

package engine

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"rockbarrow.dev/rockbarrow/host"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/recordpb"
)

func call(t *testing.T, handler http.HandlerFunc) host.Result {
	server := httptest.NewServer(handler)
	defer server.Close()
	c := &Client{HTTP: &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: 64 << 10}}, Stall: 20 * time.Second, MaxAnswer: 64 << 10}
	return c.Call(t.Context(), host.Attempt{
		Endpoint: &configpb.Endpoint{Name: "e", Address: server.URL}, Created: &recordpb.Created{}, Intent: &recordpb.Intent{}, Deadline: time.Now().Add(time.Minute),
	}, func(uint64, string) {})
}

// TestEndlessStreamIsEnded guards against a stream without an end that is read until its run is taken over.
func TestEndlessStreamIsEnded(t *testing.T) {
	for name, piece := range map[string]string{
		"a line":                 "b",
		"lines without data":     ": comment\n",
		"chunks without content": "data: {\"choices\":[]}\n\n",
		"content":                "data: {\"choices\":[{\"delta\":{\"content\":\"" + strings.Repeat("c", 1000) + "\"}}]}\n\n",
	} {
		written := make(chan int, 1)
		r := call(t, func(w http.ResponseWriter, _ *http.Request) {
			n, block := 0, strings.Repeat(piece, 1+(64<<10)/len(piece))
			var err error
			for n < 64<<20 && err == nil {
				var m int
				m, err = io.WriteString(w, block)
				n += m
			}
			written <- n
		})
		if r.Answer != nil || r.NotExecuted {
			t.Errorf("%s: %+v", name, r)
		}
		if n := <-written; n >= 64<<20 {
			t.Errorf("%s: %d bytes were read", name, n)
		}
	}
}

// TestLargestSoundAnswer guards against limits that end sound streams of single tokens.
func TestLargestSoundAnswer(t *testing.T) {
	const tokens = 16 << 10
	r := call(t, func(w http.ResponseWriter, _ *http.Request) {
		for range tokens {
			fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"abcd\"}}]}\n\n", strings.Repeat("i", 200))
		}
		io.WriteString(w, "data: {\"choices\":[{\"finish_reason\":\"stop\"}],\"usage\":{\"completion_tokens\":1}}\n\ndata: [DONE]\n\n")
	})
	if n := len(r.Answer.GetContent()); n != 4*tokens {
		t.Errorf("%d bytes, %s", n, r.Reason)
	}
}
