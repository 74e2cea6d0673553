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
	"github.com/uber-go/tally/v4"

	"rockbarrow.dev/rockbarrow/catalog"
	"rockbarrow.dev/rockbarrow/dial"
	"rockbarrow.dev/rockbarrow/document"
	"rockbarrow.dev/rockbarrow/quarantine"
	"rockbarrow.dev/rockbarrow/quota"
	"rockbarrow.dev/rockbarrow/register"
	"rockbarrow.dev/rockbarrow/wait"
	"rockbarrow.dev/rockbarrow/watch"
	"rockbarrow.dev/schema/fleetpb"
)

// documentCacheSize is the number of configuration documents, and of endpoint lists, kept as bases
// for deltas. It covers a few seconds of rapid changes. A document of a thousand routes or of three
// thousand endpoints takes some 250 KB.
const documentCacheSize = 8

// EndpointSource reads the list of endpoints from the platform.
type EndpointSource interface {
	// Endpoints returns the whole list, still without a number, and the number of calls used to
	// read it. With a [catalog.IncompleteError], it returns the part that could be read.
	Endpoints(ctx context.Context) (*fleetpb.EndpointList, error)
}

// UnavailableError is returned if a change was not confirmed. It may or may not be chosen.
type UnavailableError struct{ Cause error }

func (e *UnavailableError) Error() string {
	return "controller: no majority of the voters: " + e.Cause.Error()
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// Controller is one control instance. Exported fields must be set before Open.
type Controller struct {
	fleetpb.UnimplementedControlServer

	Self *fleetpb.Member
	// Seeds are the addresses of the initial control instances, possibly including this one.
	Seeds []string
	// InitialSeeds are the seeds recorded at the first start of this disk; the initial state is
	// voted on at these addresses. Defaults to Seeds.
	InitialSeeds []string
	// Founder reports whether this disk was first started at the first start of the deployment.
	Founder bool
	// FaultTolerance is the number of instances with disks that may be lost at the same time.
	FaultTolerance int
	// FailureDomains are the failure domains of the deployment, any of which may be evacuated.
	FailureDomains []string
	// DataDir is the directory in which votes are stored.
	DataDir        string
	Pool           *dial.Pool
	EndpointSource EndpointSource
	// MaxListCallsPerSecond limits the calls to the endpoint source by all instances together; zero
	// means unlimited. MaxListAge is the maximum allowed age of the known list; zero means
	// unlimited.
	MaxListCallsPerSecond float64
	MaxListAge            time.Duration
	// StartTimes queries endpoints for their start times. If nil, endpoints are identified by their
	// ids only.
	StartTimes StartTimeReader
	// Decode parses a configuration document. If nil, this instance builds no routing tables and
	// sends documents to every instance.
	Decode func(document []byte) (*fleetpb.Document, error)
	Log    *logrus.Entry
	// Metrics counts the steps of the stores' view; nil counts nothing.
	Metrics tally.Scope
	// QuotaTerms configure the enforcement of customer quotas.
	QuotaTerms quota.Params

	watch *watch.Client
	// standbyEpoch returns the newest view for which the standby store of this instance holds its
	// records, and wakeStandby tells it of a new state. Both are nil if there is none.
	standbyEpoch func() uint64
	wakeStandby  func()
	// observingSince is when this instance began to hear most voters without interruption. The
	// silence of others before it proves nothing.
	observingSince atomic.Pointer[time.Time]
	// processID identifies this process to entry instances, so that they detect a restart.
	processID uint64
	quotas    quota.Counter
	// votes persists the acceptor's record.
	votes       *voteStore
	presence    presence
	propagation propagation
	loads       loads
	suspects    quarantine.Registry
	// suspectStore keeps them on the disk.
	suspectStore *suspectStore
	// silence keeps silent members on the disk.
	silence     *silenceStore
	entryLosses entryLosses
	// suspectWake is true while waiting calls are about to be answered for changed suspects.
	suspectWake  atomic.Bool
	incarnations incarnationTracker
	// listMu serializes the numbering and publishing of lists.
	listMu        sync.Mutex
	tables        tables
	cachedSummary atomic.Pointer[memberSummary]
	// listHistory computes the differences between lists that receivers need.
	listHistory catalog.History
	// packableList is the newest list sent to an instance of an earlier version.
	packableList atomic.Pointer[document.List]
	// originatedState and originatedList are the numbers of the newest state and list that this
	// instance produced itself rather than learned from others.
	originatedState, originatedList atomic.Uint64
	// reach describes the control instances heard recently.
	reach atomic.Pointer[fleetpb.Reach]

	// votingMu serializes the acceptor and its writes to disk, which may stall for seconds.
	votingMu sync.Mutex
	acceptor register.Acceptor
	// votesEnded is set once Run has ended; no further vote is written.
	votesEnded bool
	// savedRecord is the acceptor's record as stored on disk.
	savedRecord atomic.Pointer[fleetpb.AcceptorRecord]

	requests voteRequests
	// needFullState holds the storages of acceptors whose last value could not be unpacked; the
	// next request asks them for the full value.
	needFullState sync.Map

	// proposalSlot limits this instance to one round at a time.
	proposalSlot chan struct{}
	// highestRound is the highest round number seen.
	highestRound atomic.Uint64

	// highestListNumber is the highest list number reported by any instance. listTag is the low
	// bits of the list numbers assigned by this process.
	highestListNumber atomic.Uint64
	listTag           uint64

	// updateMu guards update, which is closed and replaced whenever a newer state or list is known.
	updateMu sync.Mutex
	update   chan struct{}

	// stopping is closed by EndWaits. It ends the calls that wait for updates.
	stopping chan struct{}
	endWaits sync.Once
}

// Open loads the votes from disk. The instance answers vote requests once Open has returned.
func (c *Controller) Open() error {
	c.resetObservation(time.Now())
	votes, record, err := openVotes(c.DataDir)
	if err != nil {
		return err
	}
	c.votes = votes
	if err := c.openSuspects(); err != nil {
		return err
	}
	if err := c.openSilence(); err != nil {
		return err
	}
	c.tables.init(c)
	c.incarnations.controller = c
	c.reach.Store(&fleetpb.Reach{FailureDomains: []string{c.Self.GetFailureDomain()}, AllRelay: true})
	c.watch = &watch.Client{
		Self: c.Self, Role: fleetpb.Role_ROLE_CONTROL,
		Seeds: c.Seeds, Pool: c.Pool, Log: c.Log, LongPollTimeout: peerLongPoll, OnChange: c.notifyWatchers,
		Relayed: c.relayReports, OnSuspects: c.receiveSuspects,
		Documents: document.Cache{Capacity: documentCacheSize, Log: c.Log},
		Lists:     document.Cache{Capacity: documentCacheSize, Log: c.Log},
	}
	if len(c.InitialSeeds) == 0 {
		c.InitialSeeds = c.Seeds
	}
	c.InitialSeeds = slices.Sorted(slices.Values(c.InitialSeeds))
	c.acceptor = register.Acceptor{
		Storage: c.Self.GetStorage(), Founder: c.Founder, Seeds: c.InitialSeeds, FaultTolerance: c.FaultTolerance,
	}
	if record != nil {
		c.watch.Documents.AddState(record.GetState())
		c.acceptor.Restore(record)
		c.savedRecord.Store(record)
		c.observeRound(record.GetPromised().GetRound())
		c.Log.WithFields(logrus.Fields{
			"state": record.GetState().GetNumber(), "config_version": record.GetState().GetConfiguration().GetVersion(),
			"accepted_round": record.GetAccepted().GetRound(), "promised_round": record.GetPromised().GetRound(),
		}).Info("votes were restored")
	}
	c.proposalSlot = make(chan struct{}, 1)
	c.listTag = rand.Uint64N(1 << tagBits)
	c.processID = rand.Uint64()
	c.quotas.Params, c.quotas.Process = c.QuotaTerms, c.processID
	c.quotas.Start(time.Now())
	c.update, c.stopping = make(chan struct{}), make(chan struct{})
	return nil
}

// Run performs the background work of the instance until ctx is done, then waits for votes and
// writes in progress. Nothing is written to the disk once it has returned.
func (c *Controller) Run(ctx context.Context) {
	var saves sync.WaitGroup
	defer saves.Wait()
	saves.Go(func() { c.suspectStore.run(ctx) })
	saves.Go(func() { c.silence.run(ctx) })
	go c.watch.Run(ctx)
	go c.runReach(ctx)
	go c.runLearning(ctx)
	go c.runFalseEnds(ctx)
	if c.Decode != nil {
		go c.tables.loop(ctx)
	}
	reader := &reader{controller: c}
	go reader.loop(ctx)
	if c.StartTimes != nil {
		go c.incarnations.loop(ctx)
		go (&resolver{controller: c}).loop(ctx)
	}
	d := &coordinator{controller: c}
	d.loop(ctx)
	c.requests.stop()
	c.endVotes()
}

// State returns the newest state known to be chosen, or nil.
func (c *Controller) State() *fleetpb.State { return c.watch.State() }

// Watcher returns the client that watches the other control instances.
func (c *Controller) Watcher() *watch.Client { return c.watch }

// HasState reports whether the instance knows a chosen state.
func (c *Controller) HasState() bool { return c.State() != nil }

// Endpoints returns the newest list of endpoints and the time at which it was read.
func (c *Controller) Endpoints() *watch.ListSnapshot { return c.watch.List() }

// ServeStandby announces that this instance can keep records in place of a store. It must be called
// between Open and Run. copiedEpoch returns the newest view for which it holds its records, and wake
// is called for each new state.
func (c *Controller) ServeStandby(copiedEpoch func() uint64, wake func()) {
	c.standbyEpoch, c.wakeStandby = copiedEpoch, wake
	c.watch.CopiedEpoch, c.watch.Standby = copiedEpoch, true
}

// notifyWatchers wakes pending Watch calls.
func (c *Controller) notifyWatchers() {
	c.tables.wake()
	if c.wakeStandby != nil {
		c.wakeStandby()
	}
	c.wakeCalls()
}

// wakeCalls lets pending Watch calls look for updates.
func (c *Controller) wakeCalls() {
	c.updateMu.Lock()
	close(c.update)
	c.update = make(chan struct{})
	c.updateMu.Unlock()
}

// EndWaits ends the calls that wait for updates, now and from now on. Everything else goes on.
func (c *Controller) EndWaits() { c.endWaits.Do(func() { close(c.stopping) }) }

func (c *Controller) updateChan() <-chan struct{} {
	c.updateMu.Lock()
	defer c.updateMu.Unlock()
	return c.update
}

// PutConfiguration applies the configuration that an operator sent as the given text, unless the current one has the same or a
// higher version. D is its decoded form, which is stored with it and is all that routing tables are built from. It
// returns a [routing.InvalidError] if no table can be built, otherwise once a majority of the voters has stored the outcome and
// other control instances know it, see applyCommand.
func (c *Controller) PutConfiguration(ctx context.Context, d *fleetpb.Document, text []byte) error {
	cfg, err := document.NewConfiguration(d, text)
	if err != nil {
		return err
	}
	table, err := c.tables.validate(cfg)
	if err != nil {
		return err
	}
	s, err := c.applyCommand(ctx, func(s *fleetpb.State) *fleetpb.State {
		if s.GetNumber() == 0 || cfg.GetVersion() <= s.GetConfiguration().GetVersion() {
			return nil
		}
		s.Configuration = cfg
		return s
	})
	if s.GetConfiguration() == cfg {
		c.Log.WithFields(logrus.Fields{"config_version": cfg.GetVersion(), "table": table.ShortDigest()}).Info("a configuration is chosen")
	}
	return err
}

// Confirm returns once a majority of the voters has confirmed the newest state and other control instances know it.
func (c *Controller) Confirm(ctx context.Context) error {
	_, err := c.applyCommand(ctx, nil)
	return err
}

// Read returns the newest state stored by a majority of the voters.
func (c *Controller) Read(ctx context.Context) (*fleetpb.State, error) {
	return c.Change(ctx, nil)
}

// Change runs rounds until one of them chooses a value, and returns that value.
func (c *Controller) Change(ctx context.Context, change register.Change) (*fleetpb.State, error) {
	select {
	case c.proposalSlot <- struct{}{}:
		defer func() { <-c.proposalSlot }()
	case <-ctx.Done():
		return nil, &UnavailableError{Cause: ctx.Err()}
	}
	for {
		s, err := c.runRound(ctx, change)
		if c.retryable(err) && wait.For(ctx, rand.N(maxRoundBackoff)) {
			continue
		}
		if err != nil {
			return nil, &UnavailableError{Cause: err}
		}
		if s.GetNumber() == 0 {
			return nil, &UnavailableError{Cause: errors.New("the voters hold no state yet")}
		}
		storeMax(&c.originatedState, s.GetNumber())
		c.watch.UpdateState(s)
		return s, nil
	}
}

// retryable reports whether another round may succeed, under a higher ballot or with voters that
// did not answer before.
func (c *Controller) retryable(err error) bool {
	var lost *preemptedError
	var unanswered *noQuorumError
	if errors.As(err, &lost) {
		c.observeRound(lost.round)
		return true
	}
	return errors.As(err, &unanswered)
}

// nextBallot returns an unused ballot: its round is higher than any round that this storage has
// promised, including before a restart.
func (c *Controller) nextBallot() *fleetpb.Ballot {
	c.observeRound(c.savedRecord.Load().GetPromised().GetRound())
	return &fleetpb.Ballot{Round: c.highestRound.Add(1), Proposer: c.Self.GetStorage()}
}

// observeRound raises highestRound to at least round.
func (c *Controller) observeRound(round uint64) { storeMax(&c.highestRound, round) }

// storeMax raises number to at least n.
func storeMax(number *atomic.Uint64, n uint64) {
	for old := number.Load(); old < n; old = number.Load() {
		if number.CompareAndSwap(old, n) {
			return
		}
	}
}
