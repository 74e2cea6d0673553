// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/keys"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/operatorpb"
)

func showStatus(ctx context.Context, s *session) error {
	reply, err := s.api.Status(ctx, &operatorpb.StatusRequest{})
	if err != nil {
		return err
	}
	return s.print(reply, func(w io.Writer) {
		fmt.Fprintln(w, "INSTANCE\tDOMAIN\tSTATE\tVERSION\tLEARNED\tOWNED\tREPAIRING\tDISK\tCONTROL\tSILENT")
		for _, i := range reply.GetInstances() {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%v\t%d\t%d\t%v\t%v\t%d ms\n", i.GetInstance(), i.GetDomain(), i.GetState(), i.GetConfigVersion(),
				i.GetLearned(), i.GetOwnedRuns(), i.GetRepairingRuns(), i.GetDisk(), i.GetControl(), i.GetSilentMs())
		}
		fmt.Fprintf(w, "\nversion %d, in force everywhere: %v, control leader: %s, cut off: %v\n",
			reply.GetNewestVersion(), reply.GetInForceEverywhere(), reply.GetLeader(), reply.GetCutOff())
	})
}

func get(ctx context.Context, s *session) error {
	reply, err := s.api.GetDocument(ctx, &operatorpb.GetDocumentRequest{})
	if err != nil {
		return err
	}
	return s.print(reply, func(w io.Writer) { documentRows(w, reply.GetDocument()) })
}

func documentRows(w io.Writer, d *configpb.Document) {
	fmt.Fprintf(w, "version %d\n", d.GetVersion())
	for _, c := range d.GetCustomers() {
		fmt.Fprintf(w, "customer\t%s\t%d keys\n", c.GetName(), len(c.GetKeyHashes()))
	}
	for _, m := range d.GetModels() {
		fmt.Fprintf(w, "model\t%s\tversion %s\n", m.GetName(), m.GetVersion())
	}
	for _, b := range d.GetBindings() {
		fmt.Fprintf(w, "binding\t%s\t%v\n", b.GetName(), b.GetDomains())
	}
	for _, p := range d.GetPrograms() {
		fmt.Fprintf(w, "program\t%s\tof %s, model %s, binding %s, %d tokens\n", p.GetName(), p.GetCustomer(), p.GetModel(), p.GetBinding(), p.GetBudgetTokens())
	}
	for _, v := range d.GetServices() {
		fmt.Fprintf(w, "service\t%s\tbinding %s, repeatable %v\n", v.GetName(), v.GetBinding(), v.GetRepeatable())
	}
	for _, e := range d.GetEndpoints() {
		fmt.Fprintf(w, "endpoint\t%s\t%s, %s, %v%s, draining %v\n", e.GetName(), e.GetDomain(), e.GetAddress(), e.GetModels(), e.GetService(), e.GetDraining())
	}
	for _, x := range d.GetWithdrawals() {
		fmt.Fprintf(w, "withdrawal\t%s\t%s\n", x.GetSubject(), x.GetMode())
	}
}

func watch(ctx context.Context, s *session) error {
	stream, err := s.api.WatchDocument(ctx, &operatorpb.GetDocumentRequest{})
	if err != nil {
		return err
	}
	for {
		reply, err := stream.Recv()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if err := s.print(reply, func(w io.Writer) { documentRows(w, reply.GetDocument()) }); err != nil {
			return err
		}
	}
}

func explain(ctx context.Context, s *session) error {
	reply, err := s.api.ExplainRun(ctx, &operatorpb.ExplainRunRequest{Run: s.flags.args[0]})
	if err != nil {
		return err
	}
	return s.print(reply, func(w io.Writer) {
		fmt.Fprintf(w, "run %s of program %s, %s, owned by %s, %d of %d tokens spent\n\n", reply.GetRun(), reply.GetProgram(), reply.GetState(),
			reply.GetOwner(), reply.GetSpentTokens(), reply.GetBudgetTokens())
		fmt.Fprintln(w, "TURN\tSTATE\tATTEMPT\tENDPOINT\tDOMAIN\tVERSION\tPROMPT\tCACHED\tANSWER\tWHY")
		for _, t := range reply.GetTurns() {
			fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%s\t%d\t%d\t%d\t%d\t%s\n", t.GetSequence(), t.GetState(), t.GetAttempt(), t.GetEndpoint(), t.GetDomain(),
				t.GetConfigVersion(), t.GetPromptTokens(), t.GetCachedTokens(), t.GetAnswerTokens(), t.GetReason())
		}
	})
}

func audit(ctx context.Context, s *session) error {
	since, err := sinceMS(s.flags.since, time.Now())
	if err != nil {
		return err
	}
	stream, err := s.api.Audit(ctx, &operatorpb.AuditRequest{SinceMs: since, Operator: s.flags.operator, Subject: s.flags.subject})
	if err != nil {
		return err
	}
	for {
		line, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		err = s.print(line, func(w io.Writer) {
			at := time.UnixMilli(line.GetAtMs()).UTC().Format(time.RFC3339)
			fmt.Fprintf(w, "%s\t%s\t%s\t%d -> %d\t%s\t%d changes\t%x\n", at, line.GetOperator(), line.GetCommandId(), line.GetFromVersion(),
				line.GetToVersion(), line.GetResult(), len(line.GetCommand().GetChanges()), line.GetDigest()[:4])
		})
		if err != nil {
			return err
		}
	}
}

// sinceMS reads a time or a span before now; "" is the beginning.
func sinceMS(text string, now time.Time) (int64, error) {
	if text == "" {
		return 0, nil
	}
	if d, err := time.ParseDuration(text); err == nil {
		return now.Add(-d).UnixMilli(), nil
	}
	t, err := time.Parse(time.RFC3339, text)
	if err != nil {
		return 0, &UsageError{Reason: "--since: must be a time such as 2026-12-02T10:00:00Z, or a span such as 2h"}
	}
	return t.UnixMilli(), nil
}

func (s *session) life() time.Duration { return time.Duration(s.flags.days) * 24 * time.Hour }

func keysInit(_ context.Context, s *session) error {
	if _, err := keys.NewAuthority(s.flags.dir, s.life()); err != nil {
		return err
	}
	fmt.Fprintf(s.out, "authority in %s, for development only\n", s.flags.dir)
	return nil
}

func keysIssue(_ context.Context, s *session) error {
	switch s.flags.role {
	case keys.RoleInstance, keys.RoleOperator, keys.RoleReader:
	default:
		return &UsageError{Reason: "--role: must be instance, operator or reader"}
	}
	a, err := keys.OpenAuthority(s.flags.dir)
	if err != nil {
		return err
	}
	files, err := a.Issue(s.flags.args[0], s.flags.role, s.life())
	if err != nil {
		return err
	}
	fmt.Fprintf(s.out, "%s\n%s\n", files.Cert, files.Key)
	return nil
}

func keysHash(_ context.Context, s *session) error {
	fmt.Fprintln(s.out, control.HashKey(s.flags.args[0]))
	return nil
}
