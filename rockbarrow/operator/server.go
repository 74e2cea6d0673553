// SPDX-License-Identifier: MIT

// Package operator serves the operators' schema by gRPC. Any instance answers;
// commands and the audit trail go to the control leader from there.
package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/rockbarrow/config"
	"rockbarrow.dev/rockbarrow/host"
	"rockbarrow.dev/rockbarrow/inbound"
	"rockbarrow.dev/rockbarrow/keys"
	"rockbarrow.dev/rockbarrow/program"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/operatorpb"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

const (
	// errorDomain marks the details of errors.
	errorDomain = "rockbarrow"
	// operatorKey carries the operator's name where there is no TLS.
	operatorKey = "rockbarrow-operator"
	// maxID bounds a command id.
	maxID = 128
	// watchEvery is how often a watch looks for a new version.
	watchEvery = 200 * time.Millisecond
	// handshakeTimeout bounds the beginning of a connection, maxCalls the calls in progress on one, and maxHeadBytes the headers of each.
	handshakeTimeout = 5 * time.Second
	maxCalls         = 32
	maxHeadBytes     = 64 << 10
	// explainPage is how many turns an explanation reads at once.
	explainPage = 100
)

// Peers reaches the leader for the audit trail.
type Peers interface {
	Audit(ctx context.Context, instance string, req *operatorpb.AuditRequest, emit func(*recordpb.AuditRecord) error) error
}

// Server answers operators. Set the exported fields before New.
type Server struct {
	operatorpb.UnimplementedOperatorServer
	Instance string
	Config   *config.Source
	Host     *host.Host
	View     func() *roster.View
	Peers    Peers
	// Secure is true when callers must show a certificate.
	Secure bool
	// Stopping is done once a stop waits for the calls in progress, which ends watches. Ended is done once calls in progress are
	// answered.
	Stopping, Ended context.Context
	// Calls bounds the connections.
	Calls *inbound.Calls
}

// New returns a gRPC server that serves s.
func New(s *Server, creds credentials.TransportCredentials) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.Creds(creds), grpc.UnaryInterceptor(s.unary), grpc.StreamInterceptor(s.stream),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxConcurrentStreams(maxCalls), grpc.MaxHeaderListSize(maxHeadBytes),
	}
	if s.Calls != nil {
		options = append(options, grpc.StatsHandler(s.Calls))
	}
	g := grpc.NewServer(options...)
	operatorpb.RegisterOperatorServer(g, s)
	return g
}

// admit checks the caller's role for a method.
func (s *Server) admit(ctx context.Context, method string) error {
	if !s.Secure {
		return nil
	}
	_, role := keys.Who(ctx)
	if role == keys.RoleOperator || role == keys.RoleReader && method != operatorpb.Operator_Apply_FullMethodName {
		return nil
	}
	return status.Errorf(codes.PermissionDenied, "role %q may not call %s", role, method)
}

func (s *Server) unary(ctx context.Context, req any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := s.admit(ctx, info.FullMethod); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.Ended, cancel)()
	return next(ctx, req)
}

func (s *Server) stream(srv any, ss grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := s.admit(ss.Context(), info.FullMethod); err != nil {
		return err
	}
	return next(srv, ss)
}

func who(ctx context.Context) string {
	if name, _ := keys.Who(ctx); name != "" {
		return name
	}
	md, _ := metadata.FromIncomingContext(ctx)
	if v := md.Get(operatorKey); len(v) > 0 {
		return v[0]
	}
	return "anonymous"
}

func (s *Server) Apply(ctx context.Context, req *operatorpb.ApplyRequest) (*operatorpb.ApplyReply, error) {
	if id := req.GetCommandId(); id == "" || len(id) > maxID {
		return nil, fieldError("command_id", fmt.Sprintf("must be 1 to %d bytes", maxID))
	}
	out, err := s.Config.Apply(ctx, who(ctx), req)
	if err != nil {
		return nil, applyError(err)
	}
	if err := outcomeError(out); err != nil {
		return nil, err
	}
	return &operatorpb.ApplyReply{Outcome: out}, nil
}

func applyError(err error) error {
	var unavailable *config.UnavailableError
	if errors.As(err, &unavailable) {
		return detailed(codes.Unavailable, err.Error(), "NOT_ENOUGH_VOTERS", nil)
	}
	return detailed(codes.Unknown, err.Error(), "UNDETERMINED", nil)
}

// outcomeError turns a refusal into a status with details.
func outcomeError(out *recordpb.ControlOutcome) error {
	switch out.GetResult() {
	case recordpb.ControlOutcome_RESULT_CONFLICT:
		return detailed(codes.Aborted, fmt.Sprintf("version %d is in force; command %q won", out.GetVersion(), out.GetWinner()),
			"CONFLICT", map[string]string{"winner": out.GetWinner(), "version": fmt.Sprint(out.GetVersion())})
	case recordpb.ControlOutcome_RESULT_REUSED_ID:
		return detailed(codes.AlreadyExists, "the command id came before with another command", "REUSED_ID", nil)
	case recordpb.ControlOutcome_RESULT_INVALID:
		bad := &errdetails.BadRequest{}
		for _, v := range out.GetViolations() {
			bad.FieldViolations = append(bad.FieldViolations, &errdetails.BadRequest_FieldViolation{Field: v.GetField(), Description: v.GetDescription()})
		}
		st, err := status.New(codes.InvalidArgument, "the command is not valid").WithDetails(bad)
		if err != nil {
			return status.Error(codes.InvalidArgument, "the command is not valid")
		}
		return st.Err()
	}
	return nil
}

func fieldError(field, description string) error {
	return outcomeError(&recordpb.ControlOutcome{
		Result:     recordpb.ControlOutcome_RESULT_INVALID,
		Violations: []*recordpb.Violation{{Field: field, Description: description}},
	})
}

func detailed(c codes.Code, text, reason string, meta map[string]string) error {
	st, err := status.New(c, text).WithDetails(&errdetails.ErrorInfo{Reason: reason, Domain: errorDomain, Metadata: meta})
	if err != nil {
		return status.Error(c, text)
	}
	return st.Err()
}

func (s *Server) GetDocument(context.Context, *operatorpb.GetDocumentRequest) (*operatorpb.GetDocumentReply, error) {
	return &operatorpb.GetDocumentReply{Document: s.Config.Snapshot().Document()}, nil
}

func (s *Server) WatchDocument(_ *operatorpb.GetDocumentRequest, stream grpc.ServerStreamingServer[operatorpb.GetDocumentReply]) error {
	t := time.NewTicker(watchEvery)
	defer t.Stop()
	var sent *configpb.Document
	for {
		if doc := s.Config.Snapshot().Document(); sent == nil || doc.GetVersion() > sent.GetVersion() {
			if err := stream.Send(&operatorpb.GetDocumentReply{Document: doc}); err != nil {
				return err
			}
			sent = doc
		}
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-s.Stopping.Done():
			return status.Error(codes.Unavailable, "the instance stops")
		case <-t.C:
		}
	}
}

func (s *Server) Status(context.Context, *operatorpb.StatusRequest) (*operatorpb.StatusReply, error) {
	view := s.View()
	version := s.Config.Snapshot().Version()
	out := &operatorpb.StatusReply{Instance: s.Instance, NewestVersion: version, InForceEverywhere: true, Leader: s.Config.Leader(), CutOff: s.Config.ControlUnreachable()}
	for _, i := range view.Instances() {
		b := i.Heartbeat()
		st := &operatorpb.InstanceStatus{
			Instance:      i.Instance(),
			Domain:        i.Domain(),
			State:         i.State().String(),
			Incarnation:   b.Incarnation(),
			ConfigVersion: b.ConfigVersion(),
			Disk:          i.Disk(),
			Control:       i.Control(),
			OwnedRuns:     b.OwnedRuns(),
			RepairingRuns: b.UnderReplicatedRuns(),
			Learned:       b.Learned(),
		}
		if !i.LastHeard().IsZero() {
			st.SilentMs = uint64(time.Since(i.LastHeard()).Milliseconds())
		}
		out.NewestVersion = max(out.NewestVersion, b.ConfigVersion())
		out.Instances = append(out.Instances, st)
	}
	for _, st := range out.GetInstances() {
		if st.GetState() != roster.Dead.String() && st.GetConfigVersion() < out.GetNewestVersion() {
			out.InForceEverywhere = false
		}
	}
	return out, nil
}

func (s *Server) ExplainRun(ctx context.Context, req *operatorpb.ExplainRunRequest) (*operatorpb.ExplainRunReply, error) {
	out := &operatorpb.ExplainRunReply{Run: req.GetRun()}
	for after := uint64(0); ; {
		view, err := s.read(ctx, req.GetRun(), after)
		if err != nil {
			return nil, err
		}
		out.Program = view.GetProgram()
		out.State = view.GetState()
		out.Owner = view.GetOwner()
		out.BudgetTokens = view.GetBudgetTokens()
		out.SpentTokens = view.GetSpentTokens()
		for _, t := range view.GetTurns() {
			out.Turns = append(out.Turns, explanation(t))
			after = t.GetSequence()
		}
		if !view.GetMore() {
			return out, nil
		}
	}
}

func (s *Server) read(ctx context.Context, run string, after uint64) (*peerpb.RunView, error) {
	var view *peerpb.RunView
	var refused *peerpb.Problem
	req := &peerpb.DoRequest{
		Run:      run,
		Customer: program.AnyCustomer,
		Body:     &peerpb.DoRequest_Read{Read: &peerpb.Read{After: after, Limit: explainPage}},
	}
	err := s.Host.Do(ctx, req, func(e *peerpb.DoEvent) error {
		if v := e.GetView(); v != nil {
			view = v
		}
		if p := e.GetProblem(); p != nil {
			refused = p
		}
		return nil
	})
	switch {
	case view != nil:
		return view, nil
	case refused.GetStatus() == 404:
		return nil, status.Error(codes.NotFound, refused.GetTitle())
	case refused != nil:
		return nil, status.Error(codes.Unavailable, refused.GetDetail())
	}
	return nil, status.Error(codes.Unavailable, fmt.Sprint(err))
}

func explanation(t *peerpb.TurnView) *operatorpb.TurnExplanation {
	return &operatorpb.TurnExplanation{
		Sequence:      t.GetSequence(),
		State:         t.GetState(),
		Attempt:       t.GetAttempt(),
		Endpoint:      t.GetEndpoint(),
		Domain:        t.GetDomain(),
		ConfigVersion: t.GetConfigVersion(),
		Reason:        t.GetReason(),
		PromptTokens:  t.GetPromptTokens(),
		CachedTokens:  t.GetCachedTokens(),
		AnswerTokens:  t.GetAnswerTokens(),
	}
}

func (s *Server) Audit(req *operatorpb.AuditRequest, stream grpc.ServerStreamingServer[recordpb.AuditRecord]) error {
	lines, err := s.Config.Audit()
	if err == nil {
		return SendAudit(lines, req, stream.Send)
	}
	leader := s.Config.Leader()
	for _, i := range s.View().Instances() {
		if !i.Control() || i.Instance() == s.Instance || leader != "" && i.Instance() != leader {
			continue
		}
		if err := s.Peers.Audit(stream.Context(), i.Instance(), req, stream.Send); err == nil {
			return nil
		}
	}
	return detailed(codes.Unavailable, "no control instance leads", "NOT_ENOUGH_VOTERS", nil)
}

// SendAudit sends the lines that a request asks for.
func SendAudit(lines []*recordpb.AuditRecord, req *operatorpb.AuditRequest, emit func(*recordpb.AuditRecord) error) error {
	for _, l := range lines {
		if !asked(l, req) {
			continue
		}
		if err := emit(l); err != nil {
			return err
		}
	}
	return nil
}

func asked(l *recordpb.AuditRecord, req *operatorpb.AuditRequest) bool {
	if l.GetAtMs() < req.GetSinceMs() {
		return false
	}
	if req.GetOperator() != "" && l.GetOperator() != req.GetOperator() {
		return false
	}
	return req.GetSubject() == "" || touches(l.GetCommand(), req.GetSubject())
}

func touches(c *configpb.Command, subject string) bool {
	for _, ch := range c.GetChanges() {
		if SubjectOf(ch) == subject {
			return true
		}
	}
	return false
}

// SubjectOf returns the name of the object that a change is about.
func SubjectOf(ch *configpb.Change) string {
	switch e := ch.GetEdit().(type) {
	case *configpb.Change_PutCustomer:
		return e.PutCustomer.GetName()
	case *configpb.Change_PutModel:
		return e.PutModel.GetName()
	case *configpb.Change_PutEndpoint:
		return e.PutEndpoint.GetName()
	case *configpb.Change_PutProgram:
		return e.PutProgram.GetName()
	case *configpb.Change_PutService:
		return e.PutService.GetName()
	case *configpb.Change_PutBinding:
		return e.PutBinding.GetName()
	case *configpb.Change_PutWithdrawal:
		return e.PutWithdrawal.GetSubject()
	case *configpb.Change_Remove:
		return e.Remove.GetName()
	}
	return ""
}
