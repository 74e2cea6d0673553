// SPDX-License-Identifier: MIT

package listen

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/sirupsen/logrus"
)

func address(name, at string) *Address {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &Address{Name: name, Address: at, Log: logrus.NewEntry(log)}
}

func TestAHeldAddressIsWaitedFor(t *testing.T) {
	held, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	a := address("held", held.Addr().String())
	stopped, stop := context.WithCancel(t.Context())
	stop()
	if _, err := a.Listen(stopped); !errors.Is(err, context.Canceled) {
		t.Errorf("%v, want the end of the context", err)
	}
	got := make(chan net.Listener)
	go func() {
		l, err := a.Listen(t.Context())
		if err != nil {
			t.Error(err)
		}
		got <- l
	}()
	held.Close()
	(<-got).Close()
}

// TestAnAddressIsServedAgain: accepting failed, and the process went on without being served.
func TestAnAddressIsServedAgain(t *testing.T) {
	a := address("again", "127.0.0.1:0")
	l, err := a.Listen(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	calls := 0
	a.Serve(t.Context(), l, func(l net.Listener) error {
		l.Close()
		calls++
		if calls < 3 {
			return errors.New("accept: the network is down")
		}
		return http.ErrServerClosed
	})
	if calls != 3 {
		t.Errorf("served %d times, want 3", calls)
	}
}
