// SPDX-License-Identifier: MIT

// Package scene sets up a whole deployment on loopback ports: stand-ins, eight
// daemons in three failure domains, a balancer and the configuration, and checks
// the promises afterwards against what the stand-ins counted themselves.
package scene

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"rockbarrow.dev/rockbarrow/control"
	"rockbarrow.dev/rockbarrow/settings"
	"rockbarrow.dev/rockbench/agent"
	"rockbarrow.dev/rockbench/fleet"
	"rockbarrow.dev/rockbench/standin"
	"rockbarrow.dev/schema/configpb"
	"rockbarrow.dev/schema/operatorpb"
)

const (
	// CallerKey is the bearer key of the scene's customer.
	CallerKey = "demo-key"
	customer  = "club"
	// Pairings may not be repeated, Tools may.
	Pairings = "pairings"
	Tools    = "tools"
)

// DomainNames are the failure domains, in order.
var DomainNames = []string{"east", "west", "north"}

// Programs are the programs, each with the failure domains that it may use.
var Programs = []Program{
	{Name: "explainer", Domains: []string{"west"}},
	{Name: "coach", Domains: []string{"east"}},
	{Name: "counter", Domains: []string{"east", "north"}},
}

// Program is a program of the scene.
type Program struct {
	Name    string
	Domains []string
}

// Scene is a deployment. Set the exported fields before Start.
type Scene struct {
	// Engines is how many engines each failure domain has.
	Engines int
	TLS     bool
	// Adjust may change the settings of each instance.
	Adjust func(*settings.Settings)
	// EngineSpeed divides the times of the engines' steps; 0 means 1.
	EngineSpeed float64
	// PromptTokenUS and CacheTokens change the engines; 0 leaves their defaults.
	PromptTokenUS int
	CacheTokens   int
	Seed          uint64

	EngineList []*standin.Engine
	Services   []*standin.Service
	Platform   *standin.Platform
	Store      *standin.WeightStore
	Ledger     *standin.Ledger
	Fleet      *fleet.Fleet
	Balancer   *fleet.Balancer
	Book       *agent.Book
	dir        string
	commands   int
}

// Specs are the eight instances: three, three and two, two of them with a disk.
func Specs() []fleet.Spec {
	return []fleet.Spec{
		{Instance: "east-1", Domain: "east", Disk: true, Control: true},
		{Instance: "east-2", Domain: "east"},
		{Instance: "east-3", Domain: "east"},
		{Instance: "west-1", Domain: "west", Disk: true, Control: true},
		{Instance: "west-2", Domain: "west"},
		{Instance: "west-3", Domain: "west"},
		{Instance: "north-1", Domain: "north", Control: true},
		{Instance: "north-2", Domain: "north"},
	}
}

// Start builds and starts everything and configures it. On an error the caller
// still has to Stop.
func (s *Scene) Start(ctx context.Context) error {
	var err error
	if s.dir, err = os.MkdirTemp("", "rockbench-"); err != nil {
		return errors.Wrap(err, "scene: folder")
	}
	s.Book = agent.NewBook()
	s.Ledger = &standin.Ledger{}
	if err := s.startStandIns(); err != nil {
		return err
	}
	binary, err := fleet.Build(ctx, s.dir)
	if err != nil {
		return err
	}
	s.Fleet = &fleet.Fleet{
		Specs: Specs(), Binary: binary, Dir: filepath.Join(s.dir, "fleet"),
		PlatformURL: s.Platform.URL(), Adjust: s.Adjust, TLS: s.TLS,
	}
	if err := s.Fleet.Start(); err != nil {
		return err
	}
	ready, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	if err := s.Fleet.WaitReady(ready); err != nil {
		return err
	}
	if err := s.Configure(ctx); err != nil {
		return err
	}
	s.Balancer = &fleet.Balancer{Fleet: s.Fleet}
	return s.Balancer.Start()
}

// Stop ends everything and leaves no file.
func (s *Scene) Stop() {
	if s.Balancer != nil {
		s.Balancer.Stop()
	}
	if s.Fleet != nil {
		s.Fleet.Stop()
	}
	for _, e := range s.EngineList {
		e.Stop()
	}
	for _, v := range s.Services {
		v.Stop()
	}
	if s.Platform != nil {
		s.Platform.Stop()
	}
	if s.Store != nil {
		s.Store.Stop()
	}
	os.RemoveAll(s.dir)
}

func (s *Scene) startStandIns() error {
	speed := s.EngineSpeed
	if speed == 0 {
		speed = 1
	}
	pace := func(d time.Duration) time.Duration { return time.Duration(float64(d) / speed) }
	for i, d := range DomainNames {
		for n := range s.Engines {
			e := &standin.Engine{
				Name: fmt.Sprintf("engine-%s-%d", d, n+1), Domain: d,
				Step: pace(4 * time.Millisecond), PerCall: pace(200 * time.Microsecond), PerPrompt: pace(20 * time.Microsecond),
				Batch: 8, Chunk: 512, CacheTokens: 40_000, EventLag: 100 * time.Millisecond, GapEvery: 17,
				ChecksFencing: n%2 == 0, Seed: s.Seed + uint64(10*i+n), Ledger: s.Ledger,
			}
			if s.PromptTokenUS > 0 {
				e.PerPrompt = pace(time.Duration(s.PromptTokenUS) * time.Microsecond)
			}
			if s.CacheTokens > 0 {
				e.CacheTokens = s.CacheTokens
			}
			if err := e.Start(); err != nil {
				return errors.Wrap(err, "scene: engine")
			}
			s.EngineList = append(s.EngineList, e)
		}
		for _, name := range []string{Pairings, Tools} {
			v := &standin.Service{Name: name + "-" + d, Domain: d, Delay: 2 * time.Millisecond, Seed: s.Seed + uint64(i)}
			if err := v.Start(); err != nil {
				return errors.Wrap(err, "scene: service")
			}
			s.Services = append(s.Services, v)
		}
	}
	s.Platform = &standin.Platform{Lag: 500 * time.Millisecond}
	if err := s.Platform.Start(); err != nil {
		return errors.Wrap(err, "scene: platform")
	}
	s.Store = &standin.WeightStore{BytesPerSecond: 100 << 20, Size: 10 << 20}
	return errors.Wrap(s.Store.Start(), "scene: weight store")
}

// Configure creates the customer, endpoints, bindings, services and programs.
func (s *Scene) Configure(ctx context.Context) error {
	c := &configpb.Command{}
	add := func(ch *configpb.Change) { c.Changes = append(c.Changes, ch) }
	add(&configpb.Change{Edit: &configpb.Change_PutCustomer{PutCustomer: &configpb.Customer{Name: customer, KeyHashes: []string{control.HashKey(CallerKey)}}}})
	add(&configpb.Change{Edit: &configpb.Change_PutModel{PutModel: &configpb.Model{Name: "tutor", Version: "1"}}})
	add(&configpb.Change{Edit: &configpb.Change_PutBinding{PutBinding: &configpb.Binding{Name: "anywhere", Domains: DomainNames}}})
	add(&configpb.Change{Edit: &configpb.Change_PutService{PutService: &configpb.Service{Name: Pairings, Binding: "anywhere"}}})
	add(&configpb.Change{Edit: &configpb.Change_PutService{PutService: &configpb.Service{Name: Tools, Binding: "anywhere", Repeatable: true}}})
	for _, e := range s.EngineList {
		add(&configpb.Change{Edit: &configpb.Change_PutEndpoint{PutEndpoint: &configpb.Endpoint{
			Name: e.Name, Domain: e.Domain, Address: e.Address(), Models: []string{"tutor"}, ChecksFencing: e.ChecksFencing, MaxCalls: 16,
		}}})
	}
	for i, v := range s.Services {
		name := Pairings
		if i%2 == 1 {
			name = Tools
		}
		add(&configpb.Change{Edit: &configpb.Change_PutEndpoint{PutEndpoint: &configpb.Endpoint{Name: v.Name, Domain: v.Domain, Address: v.Address(), Service: name}}})
	}
	for _, p := range Programs {
		add(&configpb.Change{Edit: &configpb.Change_PutBinding{PutBinding: &configpb.Binding{Name: p.Name, Domains: p.Domains}}})
		add(&configpb.Change{Edit: &configpb.Change_PutProgram{PutProgram: program(p.Name, 50_000)}})
	}
	version, err := s.Apply(ctx, c)
	if err != nil {
		return err
	}
	return s.WaitInForce(ctx, version)
}

func program(name string, budget uint64) *configpb.Program {
	return &configpb.Program{
		Name: name, Customer: customer, Model: "tutor", Binding: name, BudgetTokens: budget,
		MaxCalls: 64, MaxDepth: 2, MaxAnswerTokens: 64, IdleSeconds: 600,
	}
}

// Apply sends one command and returns its version.
func (s *Scene) Apply(ctx context.Context, c *configpb.Command) (uint64, error) {
	op, closeConn, err := s.Fleet.Operator()
	if err != nil {
		return 0, err
	}
	defer closeConn()
	s.commands++
	id := fmt.Sprintf("scene-%d", s.commands)
	const tries = 20
	for n := 0; ; n++ {
		reply, err := op.Apply(ctx, &operatorpb.ApplyRequest{CommandId: id, Command: c})
		if err == nil {
			return reply.GetOutcome().GetVersion(), nil
		}
		if n == tries || ctx.Err() != nil {
			return 0, errors.Wrap(err, "scene: apply")
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// WaitInForce waits until all live instances have a version in force.
func (s *Scene) WaitInForce(ctx context.Context, version uint64) error {
	for {
		all := true
		for _, in := range s.Fleet.Instances() {
			if !in.Down() && !in.Exited() {
				all = all && s.versionOf(ctx, in) >= version
			}
		}
		if all {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "scene: in force")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

func (s *Scene) versionOf(ctx context.Context, in *fleet.Instance) uint64 {
	conn, err := s.Fleet.Dial(in)
	if err != nil {
		return 0
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := operatorpb.NewOperatorClient(conn).GetDocument(ctx, &operatorpb.GetDocumentRequest{})
	if err != nil {
		return 0
	}
	return reply.GetDocument().GetVersion()
}

// Client returns a caller's client through the balancer.
func (s *Scene) Client() *agent.Client {
	return &agent.Client{
		HTTP: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second}},
		Base: s.Balancer.URL(), Key: CallerKey, Patience: 30 * time.Second, Book: s.Book,
	}
}
