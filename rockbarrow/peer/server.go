// SPDX-License-Identifier: MIT

package peer

import (
	"context"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"rockbarrow.dev/rockbarrow/config"
	"rockbarrow.dev/rockbarrow/host"
	"rockbarrow.dev/rockbarrow/journal"
	"rockbarrow.dev/rockbarrow/keys"
	"rockbarrow.dev/rockbarrow/operator"
	"rockbarrow.dev/rockbarrow/peer/wire"
	"rockbarrow.dev/rockbarrow/roster"
	"rockbarrow.dev/schema/operatorpb"
	"rockbarrow.dev/schema/peerpb"
	"rockbarrow.dev/schema/recordpb"
)

// Roster takes beats and returns the own ones.
type Roster interface {
	HandleHeartbeats(beats []roster.Heartbeat) []roster.Heartbeat
}

// Server answers other instances. Set the exported fields before Register.
type Server struct {
	peerpb.UnimplementedPeerServer
	Host   *host.Host
	Config *config.Source
	Roster Roster
	Cut    *Cut
	// Secure is true when callers must show an instance's certificate.
	Secure bool
}

// New returns a gRPC server that serves s.
func New(s *Server, creds credentials.TransportCredentials) *grpc.Server {
	g := grpc.NewServer(
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxSendMsgSize(maxMessage),
		grpc.MaxHeaderListSize(maxHeadBytes),
		grpc.UnaryInterceptor(s.unary),
		grpc.StreamInterceptor(s.stream),
	)
	peerpb.RegisterPeerServer(g, s)
	return g
}

// admit refuses strangers and senders whose link a test has cut.
func (s *Server) admit(ctx context.Context) error {
	if s.Secure {
		if _, role := keys.Who(ctx); role != keys.RoleInstance {
			return status.Error(codes.PermissionDenied, "only instances may call here")
		}
	}
	md, _ := metadata.FromIncomingContext(ctx)
	for _, from := range md.Get(senderKey) {
		if s.Cut.Closed(from) {
			return status.Error(codes.Unavailable, "the link is cut")
		}
	}
	return nil
}

func (s *Server) unary(ctx context.Context, req any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	reply, err := next(ctx, req)
	if err != nil {
		return nil, err
	}
	// A link that was cut meanwhile loses the reply.
	if err := s.admit(ctx); err != nil {
		return nil, err
	}
	return reply, nil
}

func (s *Server) stream(srv any, ss grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
	if err := s.admit(ss.Context()); err != nil {
		return err
	}
	return next(srv, ss)
}

func (s *Server) Heartbeat(_ context.Context, req *peerpb.HeartbeatRequest) (*peerpb.HeartbeatReply, error) {
	if p := req.GetProtocol(); p > Protocol+1 || p+1 < Protocol {
		return nil, status.Errorf(codes.FailedPrecondition, "protocol %d does not work with %d", p, Protocol)
	}
	beats := toBeats(req.GetBeats())
	out := s.Roster.HandleHeartbeats(beats)
	for _, b := range beats {
		s.Config.HandlePeerVersion(b.Instance(), b.ConfigVersion())
	}
	return &peerpb.HeartbeatReply{Protocol: Protocol, Beats: fromBeats(out)}, nil
}

func (s *Server) Journal(_ context.Context, req *peerpb.JournalRequest) (*peerpb.JournalReply, error) {
	m := wire.ToMessage(req)
	if m == nil {
		return nil, status.Errorf(codes.InvalidArgument, "unknown kind %d", req.GetKind())
	}
	to := wire.ToMember(req.GetTo())
	var reply journal.Reply
	switch req.GetJournal() {
	case "":
		return nil, status.Error(codes.InvalidArgument, "journal: must be named")
	case config.JournalName:
		reply = s.Config.Journal(to, m)
	default:
		reply = s.Host.Journal(req.GetJournal(), to, m)
	}
	if reply == nil {
		return nil, status.Error(codes.Unavailable, "the disk is closed")
	}
	return wire.Reply(to, reply), nil
}

func (s *Server) Do(req *peerpb.DoRequest, stream grpc.ServerStreamingServer[peerpb.DoEvent]) error {
	return s.Host.Serve(stream.Context(), req, stream.Send)
}

func (s *Server) Pull(_ context.Context, req *peerpb.PullRequest) (*peerpb.PullReply, error) {
	return s.Config.Pull(req.GetVersion()), nil
}

func (s *Server) Push(_ context.Context, req *peerpb.PullReply) (*peerpb.PushReply, error) {
	s.Config.Push(req)
	return &peerpb.PushReply{}, nil
}

func (s *Server) Command(ctx context.Context, req *peerpb.CommandRequest) (*operatorpb.ApplyReply, error) {
	out, err := s.Config.ApplyForwarded(ctx, req)
	var unavailable *config.UnavailableError
	if errors.As(err, &unavailable) {
		return nil, status.Error(codes.FailedPrecondition, unavailable.Error())
	}
	if err != nil {
		return nil, status.Error(codes.Unknown, err.Error())
	}
	return &operatorpb.ApplyReply{Outcome: out}, nil
}

func (s *Server) Audit(req *operatorpb.AuditRequest, stream grpc.ServerStreamingServer[recordpb.AuditRecord]) error {
	lines, err := s.Config.Audit()
	if err != nil {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return operator.SendAudit(lines, req, stream.Send)
}

func fromBeats(beats []roster.Heartbeat) []*peerpb.Beat {
	out := make([]*peerpb.Beat, 0, len(beats))
	for _, b := range beats {
		out = append(out, &peerpb.Beat{
			Instance:      b.Instance(),
			Incarnation:   b.Incarnation(),
			Count:         b.Counter(),
			Leaving:       b.Leaving(),
			Learned:       b.Learned(),
			ConfigVersion: b.ConfigVersion(),
			Owned:         b.OwnedRuns(),
			Repairing:     b.UnderReplicatedRuns(),
			Storage:       b.StorageIncarnation(),
		})
	}
	return out
}

func toBeats(beats []*peerpb.Beat) []roster.Heartbeat {
	out := make([]roster.Heartbeat, 0, len(beats))
	for _, p := range beats {
		b := roster.NewHeartbeat(p.GetInstance(), p.GetIncarnation(), p.GetStorage()).WithCounter(p.GetCount())
		out = append(out, b.WithStatus(p.GetLeaving(), p.GetLearned(), p.GetConfigVersion(), p.GetOwned(), p.GetRepairing()))
	}
	return out
}
