// SPDX-License-Identifier: MIT

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/operatorpb"
)

// send applies a command and prints its outcome.
func (s *session) send(ctx context.Context, c *configpb.Command) error {
	id := s.commandID()
	var instance peer.Peer
	reply, err := s.api.Apply(ctx, &operatorpb.ApplyRequest{
		CommandId: id, ExpectedVersion: s.flags.expect, Command: c, DryRun: s.flags.dryRun,
	}, grpc.Peer(&instance))
	if err != nil {
		fmt.Fprintf(os.Stderr, "command id %s\n", id)
		return applyError(err, &instance)
	}
	return s.print(reply, func(w io.Writer) {
		verb := "accepted"
		if s.flags.dryRun {
			verb = "would be accepted"
		}
		fmt.Fprintf(w, "%s\tversion %d\tcommand id %s\n", verb, reply.GetOutcome().GetVersion(), id)
	})
}

// UndeterminedError says that a command was sent and its answer was lost.
type UndeterminedError struct {
	// Cause is the error of the connection.
	Cause error
}

// Error describes the cause.
func (e *UndeterminedError) Error() string {
	return "the command may have been accepted, send it again under the same command id: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UndeterminedError) Unwrap() error { return e.Cause }

// applyError tells an instance's refusal from the error of a connection. An instance gives a detail with each, and grpc none to a connection
// that breaks; without a connection to an instance, nothing was sent.
func applyError(err error, instance *peer.Peer) error {
	st := status.Convert(err)
	broken := st.Code() == codes.Unavailable || st.Code() == codes.Internal
	if broken && len(st.Details()) == 0 && instance.Addr != nil {
		return &UndeterminedError{Cause: err}
	}
	return err
}

// readDocument reads a file of objects; unknown keys are errors.
func readDocument(path string) (*configpb.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &UsageError{Reason: "--file: " + err.Error()}
	}
	var raw map[string]any
	if _, err := toml.Decode(string(text), &raw); err != nil {
		return nil, &UsageError{Reason: path + ": " + err.Error()}
	}
	b, err := json.Marshal(raw)
	if err != nil {
		return nil, errors.Wrap(err, path)
	}
	var doc configpb.Document
	if err := protojson.Unmarshal(b, &doc); err != nil {
		return nil, &UsageError{Reason: path + ": " + err.Error()}
	}
	return &doc, nil
}

// object is any named part of the document with the change that puts it.
type object struct {
	kind configpb.Removal_Kind
	name string
	msg  proto.Message
	put  *configpb.Change
}

func objects(d *configpb.Document) []object {
	var out []object
	for _, o := range d.GetCustomers() {
		out = append(out, object{configpb.Removal_KIND_CUSTOMER, o.GetName(), o, &configpb.Change{Edit: &configpb.Change_PutCustomer{PutCustomer: o}}})
	}
	for _, o := range d.GetModels() {
		out = append(out, object{configpb.Removal_KIND_MODEL, o.GetName(), o, &configpb.Change{Edit: &configpb.Change_PutModel{PutModel: o}}})
	}
	for _, o := range d.GetBindings() {
		out = append(out, object{configpb.Removal_KIND_BINDING, o.GetName(), o, &configpb.Change{Edit: &configpb.Change_PutBinding{PutBinding: o}}})
	}
	for _, o := range d.GetServices() {
		out = append(out, object{configpb.Removal_KIND_SERVICE, o.GetName(), o, &configpb.Change{Edit: &configpb.Change_PutService{PutService: o}}})
	}
	for _, o := range d.GetEndpoints() {
		out = append(out, object{configpb.Removal_KIND_ENDPOINT, o.GetName(), o, &configpb.Change{Edit: &configpb.Change_PutEndpoint{PutEndpoint: o}}})
	}
	for _, o := range d.GetPrograms() {
		out = append(out, object{configpb.Removal_KIND_PROGRAM, o.GetName(), o, &configpb.Change{Edit: &configpb.Change_PutProgram{PutProgram: o}}})
	}
	for _, o := range d.GetWithdrawals() {
		out = append(out, object{configpb.Removal_KIND_WITHDRAWAL, o.GetSubject(), o, &configpb.Change{Edit: &configpb.Change_PutWithdrawal{PutWithdrawal: o}}})
	}
	return out
}

// difference is what a file changes.
type difference struct {
	command *configpb.Command
	lines   []string
}

// diff compares a file with the document in force.
func diff(now, want *configpb.Document, prune bool) difference {
	d := difference{command: &configpb.Command{}}
	have := map[string]object{}
	for _, o := range objects(now) {
		have[fmt.Sprint(o.kind, o.name)] = o
	}
	for _, o := range objects(want) {
		key := fmt.Sprint(o.kind, o.name)
		old, ok := have[key]
		delete(have, key)
		switch {
		case !ok:
			d.lines = append(d.lines, "+ "+kindName(o.kind)+" "+o.name)
		case !proto.Equal(old.msg, o.msg):
			d.lines = append(d.lines, "~ "+kindName(o.kind)+" "+o.name)
		default:
			continue
		}
		d.command.Changes = append(d.command.Changes, o.put)
	}
	if !prune {
		return d
	}
	all := objects(now)
	for i := len(all) - 1; i >= 0; i-- {
		o := all[i]
		if _, left := have[fmt.Sprint(o.kind, o.name)]; !left {
			continue
		}
		d.lines = append(d.lines, "- "+kindName(o.kind)+" "+o.name)
		d.command.Changes = append(d.command.Changes, removal(o.kind, o.name))
	}
	return d
}

func removal(kind configpb.Removal_Kind, name string) *configpb.Change {
	return &configpb.Change{Edit: &configpb.Change_Remove{Remove: &configpb.Removal{Kind: kind, Name: name}}}
}

func apply(ctx context.Context, s *session) error {
	want, err := readDocument(s.flags.file)
	if err != nil {
		return err
	}
	now, err := s.api.GetDocument(ctx, &operatorpb.GetDocumentRequest{})
	if err != nil {
		return err
	}
	d := diff(now.GetDocument(), want, s.flags.prune)
	if s.flags.output == "table" {
		for _, line := range d.lines {
			fmt.Fprintln(s.out, line)
		}
	}
	if len(d.command.GetChanges()) == 0 {
		fmt.Fprintln(os.Stderr, "nothing to change")
		return nil
	}
	if s.flags.expect == 0 {
		s.flags.expect = now.GetDocument().GetVersion()
	}
	return s.send(ctx, d.command)
}

var kinds = map[string]configpb.Removal_Kind{
	"customer":   configpb.Removal_KIND_CUSTOMER,
	"model":      configpb.Removal_KIND_MODEL,
	"endpoint":   configpb.Removal_KIND_ENDPOINT,
	"program":    configpb.Removal_KIND_PROGRAM,
	"service":    configpb.Removal_KIND_SERVICE,
	"binding":    configpb.Removal_KIND_BINDING,
	"withdrawal": configpb.Removal_KIND_WITHDRAWAL,
}

func kindName(k configpb.Removal_Kind) string {
	for name, v := range kinds {
		if v == k {
			return name
		}
	}
	return "object"
}

func remove(ctx context.Context, s *session) error {
	kind, ok := kinds[s.flags.args[0]]
	if !ok {
		return &UsageError{Reason: "KIND: must be customer, model, endpoint, program, service, binding or withdrawal"}
	}
	return s.send(ctx, &configpb.Command{Changes: []*configpb.Change{removal(kind, s.flags.args[1])}})
}

// drain also knows endpoints, which carry the mark themselves.
func drain(ctx context.Context, s *session) error {
	now, err := s.api.GetDocument(ctx, &operatorpb.GetDocumentRequest{})
	if err != nil {
		return err
	}
	for _, e := range now.GetDocument().GetEndpoints() {
		if e.GetName() == s.flags.args[0] {
			next := proto.CloneOf(e)
			next.Draining = true
			return s.send(ctx, &configpb.Command{Changes: []*configpb.Change{{Edit: &configpb.Change_PutEndpoint{PutEndpoint: next}}}})
		}
	}
	return s.withdraw(ctx, configpb.Withdrawal_MODE_DRAIN)
}

func fence(ctx context.Context, s *session) error {
	return s.withdraw(ctx, configpb.Withdrawal_MODE_FENCE)
}

func (s *session) withdraw(ctx context.Context, mode configpb.Withdrawal_Mode) error {
	w := &configpb.Withdrawal{Subject: s.flags.args[0], Mode: mode}
	return s.send(ctx, &configpb.Command{Changes: []*configpb.Change{{Edit: &configpb.Change_PutWithdrawal{PutWithdrawal: w}}}})
}

func restore(ctx context.Context, s *session) error {
	return s.send(ctx, &configpb.Command{Changes: []*configpb.Change{removal(configpb.Removal_KIND_WITHDRAWAL, s.flags.args[0])}})
}
