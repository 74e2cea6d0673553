// SPDX-License-Identifier: MIT

package settings

import (
	"errors"
	"strings"
	"testing"
)

const good = `
instance = "a1"
domain = "east"
[listen]
callers = "127.0.0.1:8080"
peers = "127.0.0.1:9090"
operators = "127.0.0.1:9091"
[[peers]]
instance = "a1"
domain = "east"
address = "127.0.0.1:9090"
control = true
`

func TestGoodFile(t *testing.T) {
	s, err := Parse(good)
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits.Queue != 512 || len(s.Roster()) != 1 {
		t.Fatalf("queue %d with %d peers, want the default 512 with 1", s.Limits.Queue, len(s.Roster()))
	}
}

func wrong(t *testing.T, text, key string) {
	t.Helper()
	_, err := Parse(text)
	var f *FieldError
	if !errors.As(err, &f) || f.Key != key {
		t.Fatalf("error %v, want one about key %s", err, key)
	}
	if strings.Contains(f.Error(), "\n") {
		t.Fatalf("error %q takes more than one line", f.Error())
	}
}

func TestWrongFiles(t *testing.T) {
	wrong(t, "colour = 1\n"+good, "colour")
	wrong(t, good+"[limits]\nqueues = 1\n", "limits.queues")
	wrong(t, strings.Replace(good, `instance = "a1"`, "", 1), "instance")
	wrong(t, strings.Replace(good, "127.0.0.1:8080", "here", 1), "listen.callers")
	wrong(t, strings.Replace(good, "127.0.0.1:8080", "example:80", 1), "listen.callers")
	wrong(t, strings.Replace(good, "control = true", "", 1), "peers")
	wrong(t, strings.Replace(good, "control = true", "control = true\ndisk = true", 1), "peers[0].disk")
	wrong(t, good+"[limits]\nqueue = 0\n", "limits.queue")
	wrong(t, good+"[limits]\nmemory_bytes = 1000\n", "limits.memory_bytes")
	wrong(t, good+"[limits]\nmemory_bytes = -1\n", "limits.memory_bytes")
	wrong(t, good+"[limits]\nmemory_bytes = 100663296\nbody_bytes = 8388608\n", "limits.bodies_bytes")
	wrong(t, good+"[timing]\ndead_after_ms = 900\n", "timing.dead_after_ms")
	wrong(t, good+"[placement]\npolicy = \"luck\"\n", "placement.policy")
	wrong(t, good+"[tls]\nca = \"/nonexistent\"\n", "tls.ca")
	wrong(t, good+"instance = 3", "file")
}

// TestBodiesFitTheMemory guards against a default for bodies that a small machine has no memory for.
func TestBodiesFitTheMemory(t *testing.T) {
	for _, test := range []struct {
		limits string
		want   int64
	}{
		{"", 64 << 20},
		{"memory_bytes = 100663296", 16 << 20},
		{"memory_bytes = 1073741824", 64 << 20},
		{"memory_bytes = 100663296\nbodies_bytes = 33554432", 32 << 20},
	} {
		s, err := Parse(good + "[limits]\n" + test.limits + "\n")
		if err != nil {
			t.Fatal(err)
		}
		if got := s.Limits.Bodies(); got != test.want {
			t.Errorf("%q: %d bytes for bodies, want %d", test.limits, got, test.want)
		}
	}
}
