// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"rockbarrow.dev/schema/fleetpb"
)

// showCustomers shows what a control instance knows of customers.
func showCustomers(ctx context.Context, s *session) error {
	reply, err := s.control.Customers(ctx, &fleetpb.CustomersRequest{})
	if err != nil {
		return err
	}
	return s.print(reply, func(w io.Writer) { customerRows(w, reply) })
}

func customerRows(w io.Writer, r *fleetpb.CustomersReply) {
	fmt.Fprintln(w, "CUSTOMER\tPRIORITY\tUSED\tLIMIT\tCOMMITTED\tREFUSED\tRATE\tBURST\tKEYS")
	for _, c := range r.GetCustomers() {
		limit := "none"
		if c.GetLimit() > 0 {
			limit = fmt.Sprintf("%.0f", c.GetLimit())
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%s\t%.0f\t%d\t%g\t%g\t%s\n", c.GetName(), c.GetPriority(), c.GetRequests(), limit,
			c.GetCommitted(), c.GetRefused(), c.GetRequestsPerSecond(), c.GetBurst(), strings.Join(c.GetKeyDigests(), " "))
	}
	if n := r.GetLeftOut(); n > 0 {
		fmt.Fprintf(w, "\n%d customers more\n", n)
	}
	fmt.Fprintf(w, "\nversion %d\n", r.GetVersion())
}
