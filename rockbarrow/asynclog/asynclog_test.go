// SPDX-License-Identifier: MIT

package asynclog

import (
	"bytes"
	"errors"
	"strings"
	"sync"
	"testing"
)

// gate is an output that stands still until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func TestLinesAreDroppedAndCountedWhileTheOutputStandsStill(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	w, stop := New(g)
	for range maxLines + 100 {
		if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	dropped := w.Dropped()
	if dropped == 0 {
		t.Error("nothing was dropped")
	}
	close(g.open)
	stop()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !strings.Contains(g.text.String(), "log lines were dropped") {
		t.Error("the loss is not told")
	}
	if n := strings.Count(g.text.String(), "line\n"); int64(n) != maxLines+100-dropped {
		t.Errorf("%d lines were written and %d dropped of %d", n, dropped, maxLines+100)
	}
}

// absent is an output whose reader is away at first.
type absent struct {
	failures int
	text     bytes.Buffer
}

func (a *absent) Write(b []byte) (int, error) {
	if a.failures > 0 {
		a.failures--
		return 0, errors.New("broken pipe")
	}
	return a.text.Write(b)
}

// TestLinesAreCountedWhileTheReaderIsAway: the first line can't be written, nor can its count.
func TestLinesAreCountedWhileTheReaderIsAway(t *testing.T) {
	a := &absent{failures: 2}
	w, stop := New(a)
	for _, line := range []string{"lost\n", "second\n", "third\n"} {
		if _, err := w.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
	}
	stop()
	const want = "second\n{\"level\":\"warning\",\"msg\":\"log lines were dropped\",\"lines\":1}\nthird\n"
	if got := a.text.String(); got != want {
		t.Errorf("%q, want %q", got, want)
	}
}
