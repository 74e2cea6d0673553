// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"

	"rockbarrow.dev/schema/fleetpb"
)

// showSpeeds shows what a control instance knows of endpoints.
func showSpeeds(ctx context.Context, s *session) error {
	reply, err := s.control.Speeds(ctx, &fleetpb.SpeedsRequest{})
	if err != nil {
		return err
	}
	return s.print(reply, func(w io.Writer) { speedRows(w, reply) })
}

func speedRows(w io.Writer, r *fleetpb.SpeedsReply) {
	fmt.Fprintln(w, "ENDPOINT\tSERVICE\tTOKEN_US\tTOKENS\tRUNNING\tFAILING")
	for _, p := range r.GetEndpoints() {
		token := "unknown"
		if us := p.GetTokenUs(); us > 0 {
			token = fmt.Sprint(us)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d%%\n", p.GetEndpoint(), p.GetService(), token, p.GetTokens(), p.GetRunning(), p.GetFailing())
	}
	if n := r.GetLeftOut(); n > 0 {
		fmt.Fprintf(w, "\n%d endpoints more\n", n)
	}
	fmt.Fprintf(w, "\nlist %d\n", r.GetListNumber())
}
