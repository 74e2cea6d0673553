// SPDX-License-Identifier: MIT

package main

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"rockbarrow.dev/rockbarrow/keys"
	"rockbarrow.dev/schema/fleetpb"
	"rockbarrow.dev/schema/operatorpb"
)

// The exit codes.
const (
	exitFailed = iota + 1
	exitUsage
	exitInvalid
	exitConflict
	exitUnavailable
	exitUndetermined
	exitPermission
	exitNotFound
)

// UsageError says that the command line makes no sense.
type UsageError struct {
	// Reason tells what is wrong.
	Reason string
}

// Error describes the reason.
func (e *UsageError) Error() string { return e.Reason }

// session is one call of the program.
type session struct {
	flags *flags
	api   operatorpb.OperatorClient
	// control is the interface of control instances, which deployments on the users' platform have.
	control fleetpb.ControlClient
	out     io.Writer
}

// open connects to the instance; nothing is sent before the first call.
func open(f *flags) (*session, func(), error) {
	if f.output != "table" && f.output != "json" {
		return nil, nil, &UsageError{Reason: "--output: must be table or json"}
	}
	creds := insecure.NewCredentials()
	if f.ca != "" {
		files := &keys.Files{CA: f.ca, Cert: f.cert, Key: f.key}
		if err := files.Load(); err != nil {
			return nil, nil, err
		}
		creds = files.Client()
	}
	conn, err := grpc.NewClient("passthrough:///"+f.address, grpc.WithTransportCredentials(creds))
	if err != nil {
		return nil, nil, &UsageError{Reason: "--address: " + err.Error()}
	}
	return &session{flags: f, api: operatorpb.NewOperatorClient(conn), control: fleetpb.NewControlClient(conn), out: os.Stdout}, func() { conn.Close() }, nil
}

// print writes a message as JSON, or as the table that rows fill.
func (s *session) print(m proto.Message, rows func(io.Writer)) error {
	if s.flags.output == "json" {
		b, err := protojson.MarshalOptions{Multiline: true, UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
		if err != nil {
			return errors.Wrap(err, "output")
		}
		fmt.Fprintln(s.out, string(b))
		return nil
	}
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

func (s *session) commandID() string {
	if s.flags.commandID != "" {
		return s.flags.commandID
	}
	var b [12]byte
	rand.Read(b[:])
	s.flags.commandID = hex.EncodeToString(b[:])
	return s.flags.commandID
}

// exitCode returns the class of an error.
func exitCode(err error) int {
	var usage *UsageError
	var undetermined *UndeterminedError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &undetermined):
		return exitUndetermined
	}
	switch status.Code(errors.Cause(err)) {
	case codes.InvalidArgument:
		return exitInvalid
	case codes.Aborted, codes.AlreadyExists:
		return exitConflict
	case codes.Unavailable:
		return exitUnavailable
	case codes.Unknown, codes.DeadlineExceeded, codes.Canceled:
		if _, ok := status.FromError(errors.Cause(err)); ok {
			return exitUndetermined
		}
	case codes.PermissionDenied, codes.Unauthenticated:
		return exitPermission
	case codes.NotFound:
		return exitNotFound
	}
	return exitFailed
}

// describe tells of an error with its details, one line each.
func describe(err error) string {
	st, ok := status.FromError(errors.Cause(err))
	if !ok {
		return err.Error()
	}
	lines := []string{st.Message()}
	for _, d := range st.Details() {
		bad, ok := d.(*errdetails.BadRequest)
		if !ok {
			continue
		}
		for _, v := range bad.GetFieldViolations() {
			lines = append(lines, "  "+v.GetField()+": "+v.GetDescription())
		}
	}
	return strings.Join(lines, "\n")
}
