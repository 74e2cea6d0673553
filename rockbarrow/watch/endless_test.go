// SPDX-License-Identifier: MIT

package watch

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/schema/fleetpb"
)

// endlessParts is how many parts an endless table has in tests that its reader does not end.
const endlessParts = 100_000

// part returns a part of a table.
func part(t *testing.T, c *fleetpb.TableChange) *fleetpb.TablePart {
	t.Helper()
	b, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	frame, err := document.Compress(b)
	if err != nil {
		t.Fatal(err)
	}
	return &fleetpb.TablePart{Frame: frame}
}

// TestEndlessTableIsEnded guards against an entry instance that stores the parts of a routing table without an end, or waits for
// their end for ever, and against one that does not ask another control instance then.
func TestEndlessTableIsEnded(t *testing.T) {
	before, after, change, whole := tables(t)
	empty := part(t, &fleetpb.TableChange{})
	for name, next := range map[string]func(n int) *fleetpb.TablePart{
		"parts": func(n int) *fleetpb.TablePart {
			// Each part has names of its own, so that a table of them grows.
			b, err := proto.Marshal(&fleetpb.Service{Name: fmt.Sprint(n, strings.Repeat("x", 32<<10))})
			if err != nil {
				t.Error(err)
			}
			return part(t, &fleetpb.TableChange{Services: [][]byte{b}})
		},
		"empty parts": func(int) *fleetpb.TablePart { return empty },
		"tables":      func(n int) *fleetpb.TablePart { return whole[n%len(whole)] },
	} {
		sent := make(chan int, 1)
		endless := &fakeControl{table: func(_ *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
			n := 0
			for ; n < endlessParts; n++ {
				if err := stream.Send(next(n)); err != nil {
					break
				}
			}
			sent <- n
			return nil
		}}
		c := newTestClient(t, endless)
		var large *TableSizeError
		if _, err := c.FetchTable(t.Context(), before, 2); !errors.As(err, &large) {
			t.Errorf("%s: %v", name, err)
		}
		if n := <-sent; n >= endlessParts {
			t.Errorf("%s: %d parts were read", name, n)
		}
		other := &fakeControl{table: func(req *fleetpb.TableRequest, stream grpc.ServerStreamingServer[fleetpb.TablePart]) error {
			if bytes.Equal(req.GetHeld(), after.Digest()) {
				return nil
			}
			for _, p := range change {
				if err := stream.Send(p); err != nil {
					return err
				}
			}
			return nil
		}}
		c = newTestClient(t, endless, other)
		got, err := c.FetchTable(t.Context(), before, 2)
		if err != nil || got.Version() != after.Version() {
			t.Errorf("%s: version %d from the other one, %v", name, got.Version(), err)
		}
		for len(sent) > 0 {
			<-sent
		}
	}
}
