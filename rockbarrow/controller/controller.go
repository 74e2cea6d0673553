// SPDX-License-Identifier: MIT

package controller

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// keptDocuments is how many documents a control instance keeps to make differences
// against, of configurations and of lists: some seconds of changes in quick succession.
// Each is some 250 KB at a thousand routes or three thousand endpoints.
const keptDocuments = 8

// List reads the list of endpoints, wherever it is kept.
type List interface {
	// Endpoints returns the whole list, which has no number yet, and how many calls that took.
	Endpoints(ctx context.Context) (*fleetpb.EndpointList, error)
}

// UnavailableError says that no majority of the voters answered in time. What
// was proposed may come to be in force or not.
type UnavailableError struct{ Cause error }

// Error describes the failure.
func (e *UnavailableError) Error() string {
	return "controller: no majority of the voters: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// Controller is one control instance. Set the exported fields before Open.
type Controller struct {
	fleetpb.UnimplementedControlServer

	Self *fleetpb.Member
	// Seeds are the addresses of the first control instances, this one perhaps
	// included.
	Seeds []string
	// FirstSeeds are the Seeds of the disk's first start, where the first value is voted on. None are
	// the Seeds of today.
	FirstSeeds []string
	// Founder is true if the disk's first start was the very first one of the deployment.
	Founder bool
	// Losses is how many instances with disks may be lost at once.
	Losses int
	// Domains are the failure domains of the deployment, which operators may evacuate.
	Domains []string
	// DataDir holds the votes.
	DataDir string
	Pool    *dial.Pool
	List    List
	// ListCallsPerSecond is how many calls of all instances the list takes, zero if that is not bounded. ListAge is how
	// old what is known of the list may get, zero for no bound.
	ListCallsPerSecond float64
	ListAge            time.Duration
	// Reports asks endpoints for their starts. Without it they go by their ids alone.
	Reports Reports
	// Decode reads a configuration. Without it no tables are made here, and documents
	// are told to everyone.
	Decode func(document []byte) (*fleetpb.Document, error)
	Log    *logrus.Entry
	// QuotaTerms are the terms of customers' quotas.
	QuotaTerms quota.Terms

	watch *watch.Client
	// process names this process to entry instances, which tell a new one of what went before.
	process uint64
	quotas  quota.Counter
	// disk holds the votes.
	disk     *votes
	presence presence
	loads    loads
	lives    lives
	// listing makes one list at a time.
	listing sync.Mutex
	tables  tables
	counted atomic.Pointer[headcount]
	// lists makes the changes of lists that others need.
	lists catalog.History
	// listed is the newest list that was told to an instance of an earlier version.
	listed atomic.Pointer[document.List]
	// made are the numbers of the newest state and list that were made here, and not learned from others.
	madeState, madeList atomic.Uint64
	// reach is which control instances were heard lately.
	reach atomic.Pointer[fleetpb.Reach]

	// voting serializes the acceptor and its disk, which may stall for seconds.
	voting   sync.Mutex
	acceptor register.Acceptor
	// saved is the acceptor's record that is on the disk.
	saved atomic.Pointer[fleetpb.AcceptorRecord]

	requests voteRequests
	// distrusted holds the storages of acceptors whose last value could not be made
	// whole: they are asked for it whole.
	distrusted sync.Map

	// proposing lets one round of this instance run at a time.
	proposing chan struct{}
	// round is the newest round met.
	round atomic.Uint64

	// listFloor is the highest number of a list that any instance has told of, and
	// listTag the low bits of the numbers given here.
	listFloor atomic.Uint64
	listTag   uint64

	// news is closed and replaced whenever something newer is known.
	newsMu sync.Mutex
	update chan struct{}
}

// Open reads the disk. The instance votes once it is opened.
func (c *Controller) Open() error {
	disk, record, err := openVotes(c.DataDir)
	if err != nil {
		return err
	}
	c.disk = disk
	c.tables.init(c)
	c.lives.controller = c
	c.reach.Store(&fleetpb.Reach{FailureDomains: []string{c.Self.GetFailureDomain()}, AllRelay: true})
	c.watch = &watch.Client{
		Self: c.Self, Role: fleetpb.Role_ROLE_CONTROL,
		Seeds: c.Seeds, Pool: c.Pool, Log: c.Log, LongPollTimeout: peerHold, OnChange: c.publish,
		Relayed:   c.relayed,
		Documents: document.Cache{Capacity: keptDocuments, Log: c.Log},
		Lists:     document.Cache{Capacity: keptDocuments, Log: c.Log},
	}
	if len(c.FirstSeeds) == 0 {
		c.FirstSeeds = c.Seeds
	}
	c.FirstSeeds = slices.Sorted(slices.Values(c.FirstSeeds))
	c.acceptor = register.Acceptor{
		Storage: c.Self.GetStorage(), Founder: c.Founder, Seeds: c.FirstSeeds, Losses: c.Losses,
	}
	if record != nil {
		c.watch.Documents.AddState(record.GetState())
		c.acceptor.Restore(record)
		c.saved.Store(record)
		c.sawRound(record.GetPromised().GetRound())
	}
	c.proposing = make(chan struct{}, 1)
	c.listTag = rand.Uint64N(1 << tagBits)
	c.process = rand.Uint64()
	c.quotas.Terms = c.QuotaTerms
	c.quotas.Begin(time.Now())
	c.update = make(chan struct{})
	return nil
}

// Run does the instance's duties until ctx ends and no vote is under way any more.
func (c *Controller) Run(ctx context.Context) {
	go c.watch.Run(ctx)
	go c.runReach(ctx)
	go c.runLearning(ctx)
	if c.Decode != nil {
		go c.tables.loop(ctx)
	}
	reader := &reader{controller: c}
	go reader.loop(ctx)
	if c.Reports != nil {
		go c.lives.loop(ctx)
	}
	d := &duties{controller: c}
	d.loop(ctx)
	c.requests.stop()
}

// State returns the newest state known to be chosen, or nil.
func (c *Controller) State() *fleetpb.State { return c.watch.State() }

// Watcher returns the client with which this instance watches the others.
func (c *Controller) Watcher() *watch.Client { return c.watch }

// Learned reports whether the instance knows a chosen state.
func (c *Controller) Learned() bool { return c.State() != nil }

// Endpoints returns the newest list and when it was read.
func (c *Controller) Endpoints() *watch.ListSnapshot { return c.watch.List() }

// publish wakes the calls that wait for news.
func (c *Controller) publish() {
	c.tables.wake()
	c.newsMu.Lock()
	close(c.update)
	c.update = make(chan struct{})
	c.newsMu.Unlock()
}

func (c *Controller) updates() <-chan struct{} {
	c.newsMu.Lock()
	defer c.newsMu.Unlock()
	return c.update
}

// Put brings a configuration into force, unless one of the same or a higher
// version is. It returns once a majority keeps the outcome.
func (c *Controller) Put(ctx context.Context, version uint64, doc []byte) error {
	digest := document.Digest(doc)
	_, err := c.Change(ctx, func(s *fleetpb.State) *fleetpb.State {
		if s.GetNumber() == 0 || version <= s.GetConfiguration().GetVersion() {
			return nil
		}
		s.Configuration = &fleetpb.Configuration{Version: version, Document: doc, Digest: digest}
		return s
	})
	return err
}

// Read returns the newest state that a majority keeps.
func (c *Controller) Read(ctx context.Context) (*fleetpb.State, error) {
	return c.Change(ctx, nil)
}

// Change runs rounds until one has chosen a value, which it returns.
func (c *Controller) Change(ctx context.Context, change register.Change) (*fleetpb.State, error) {
	select {
	case c.proposing <- struct{}{}:
		defer func() { <-c.proposing }()
	case <-ctx.Done():
		return nil, &UnavailableError{Cause: ctx.Err()}
	}
	for {
		s, err := c.runRound(ctx, change)
		if c.mayRepeat(err) && wait.For(ctx, rand.N(roundPause)) {
			continue
		}
		if err != nil {
			return nil, &UnavailableError{Cause: err}
		}
		if s.GetNumber() == 0 {
			return nil, &UnavailableError{Cause: errors.New("the voters have no value yet")}
		}
		raise(&c.madeState, s.GetNumber())
		c.watch.UpdateState(s)
		return s, nil
	}
}

// mayRepeat reports whether another round may do better: one under a higher ballot, or
// one that finds voters which were not there.
func (c *Controller) mayRepeat(err error) bool {
	var lost *lostError
	var unanswered *unansweredError
	if errors.As(err, &lost) {
		c.sawRound(lost.round)
		return true
	}
	return errors.As(err, &unanswered)
}

// nextBallot returns a ballot that no round has used: its round is above all
// that this storage has promised, also in earlier lives.
func (c *Controller) nextBallot() *fleetpb.Ballot {
	c.sawRound(c.saved.Load().GetPromised().GetRound())
	return &fleetpb.Ballot{Round: c.round.Add(1), Proposer: c.Self.GetStorage()}
}

// sawRound raises the newest round met.
func (c *Controller) sawRound(round uint64) { raise(&c.round, round) }

// raise makes a number at least n.
func raise(number *atomic.Uint64, n uint64) {
	for old := number.Load(); old < n; old = number.Load() {
		if number.CompareAndSwap(old, n) {
			return
		}
	}
}
