// Command spantack is one request router: clients on one side, depot caches, parents and the origin on the other,
// and the decision module of package rules between them.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"spantack/core/backoff"
	"spantack/core/cells"
	"spantack/core/scheduler"
	"spantack/internal/admin"
	"spantack/internal/asynclog"
	"spantack/internal/background"
	"spantack/internal/clock"
	"spantack/internal/config"
	"spantack/internal/discovery"
	"spantack/internal/features"
	"spantack/internal/gossip"
	"spantack/internal/handover"
	"spantack/internal/msgpackrpc"
	"spantack/internal/resp"
	"spantack/internal/router"
)

const (
	// acceptAfterSignal is how long after SIGTERM connections and requests are still taken, in milliseconds.
	acceptAfterSignal = 800
	// SIGKILL may come killGrace after the longest deadline, of which maxHonouredDeadline counts at most. What is open
	// finalAnswerLead before that gets its answer then, so that the process has ended by itself.
	maxHonouredDeadline = 3000
	killGrace           = 700
	finalAnswerLead     = 500
	// maxAnswerReadTime is how long clients have to take those last answers, where they wait so long.
	maxAnswerReadTime = 150
	// exitMargin before SIGKILL may come the process is gone, whatever the deadlines.
	exitMargin = 50
	// heapShare of the limit is what Go's heap keeps under; the rest is for stacks, buffers and the kernel.
	heapShare = 0.7
	// requestQueueShare of the limit is what open requests and answers waiting for clients may hold.
	requestQueueShare = 0.25
	// responseBodyShare of the limit is what answers on their way in may hold: one on each connection at most.
	responseBodyShare = 0.35
	// clientDescriptorDivisor of the descriptors is what usual clients hold at most: they always find so many places.
	clientDescriptorDivisor = 3
	// extraClientShare of the limit is what further client connections may take, at bytesPerClient each.
	extraClientShare = 0.15
	bytesPerClient   = 32 << 10
	// tickInterval, in milliseconds, moves and releases are looked at while no request comes.
	tickInterval = 500
	// reservedDescriptors are for the listener, the discovery service, logs and connections on their way out.
	reservedDescriptors = 48
	// minServerConns there may be to servers, whatever the limits: with none a router would refuse all. They come out of the spare ones.
	minServerConns = 8
)

// flags are the command line; all else comes from the environment. Without flags nothing new is on.
type flags struct {
	Peers    bool   `name:"peers" help:"Tell the other routers of the tier by datagrams which area caches are crowded, where the settings allow that; see docs/peers.md."`
	Features string `name:"features" help:"Jsonnet file with what is switched on; see deploy/features.jsonnet." placeholder:"FILE"`
}

func main() {
	var f flags
	parser := kong.Must(&f, kong.Name("spantack"), kong.Description("A request router; it reads RELAY_NAME, RELAY_LISTEN and RELAY_CONFIG."))
	_, err := parser.Parse(os.Args[1:])
	signals := catchSignals() // before the configuration is read: until then a signal would end the process
	defer signals.release()
	out := asynclog.New(os.Stderr)
	var c *config.Config
	if err == nil {
		c, err = config.Load(os.Getenv)
	}
	if err == nil {
		err = run(c, func() (*config.Config, error) { return config.Load(os.Getenv) }, f, signals, out)
	}
	if err != nil {
		fmt.Fprintln(out, "spantack:", err)
	}
	out.Close()
	if err != nil {
		os.Exit(1)
	}
}

// processSignals are the signals that the process heeds: they are kept until run comes to them.
type processSignals struct {
	terminate context.Context // done at SIGTERM or SIGINT
	hangUp    chan os.Signal  // one SIGHUP: more before it is heeded mean the same
	release   func()
}

func catchSignals() *processSignals {
	end, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE) // who reads the log may be gone: that is no reason to end
	return &processSignals{end, hangUp, func() { signal.Stop(hangUp); stop() }}
}

// loadFeatures loads the features file against the settings in force; nil without a file.
func loadFeatures(file string, c *config.Config) (*features.File, router.Features, error) {
	none := router.Features{}
	if file == "" {
		return nil, none, nil
	}
	f, err := features.Load(file)
	if err != nil {
		return nil, none, err
	}
	if err := f.CheckSettings(&c.Settings); err != nil {
		return nil, none, fmt.Errorf("%s: %w", file, err)
	}
	a, err := f.CellAssignment()
	if err != nil {
		return nil, none, fmt.Errorf("%s: %w", file, err)
	}
	g, err := f.TopologyGraph()
	if err != nil {
		return nil, none, fmt.Errorf("%s: %w", file, err)
	}
	return f, router.Features{Cells: a, Migrations: f.ActiveMigration(), Rollout: f.ActiveRollout(), Topology: g, OriginLimit: f.ActiveOriginLimit()}, nil
}

// divideDescriptors shares descriptors and bytes of memory out: how many connections clients may hold, and how many there may be to servers.
func divideDescriptors(sockets int, memory float64) (clients, servers int) {
	clients = sockets / clientDescriptorDivisor
	servers = max(min(sockets-clients-reservedDescriptors, int(responseBodyShare*memory/resp.MaxBodySize)), minServerConns)
	return max(clients, min(sockets-servers-reservedDescriptors, int(extraClientShare*memory/bytesPerClient))), servers
}

// planShutdown plans the end of the process by the longest deadline of a class, in milliseconds from the signal: how long new work is taken, when
// what is open gets its answer, and how long clients then have to take that. The process is gone exitMargin before SIGKILL may come.
func planShutdown(longest float64) (stay, last, take float64) {
	kill := min(longest, maxHonouredDeadline) + killGrace
	take = min(maxAnswerReadTime, longest/2)
	last = min(max(kill-finalAnswerLead, acceptAfterSignal), kill-exitMargin-take)
	return min(acceptAfterSignal, last), last, take
}

// shutdownSlack is how much later than planned the process may be gone, by the longest deadline: a busy machine lets it run late.
func shutdownSlack(longest float64) float64 {
	_, last, take := planShutdown(longest)
	return min(longest, maxHonouredDeadline) + killGrace - exitMargin - last - take
}

// configLoader brings the configuration for a SIGHUP.
type configLoader func() (*config.Config, error)

// run serves until SIGTERM or SIGINT and returns when all that was taken has been answered.
func run(c *config.Config, again configLoader, f flags, signals *processSignals, out io.Writer) error {
	file := f.Features
	on, frame, err := loadFeatures(file, c)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // routers share one core: more threads would only take turns on it
	zerolog.TimeFieldFormat = zerolog.TimeFormatUnixMs
	log := zerolog.New(out).With().Timestamp().Str("router", c.Name).Logger()

	// serving ends when the last request has its answer; accepting ends a while after the signal.
	serving, served := context.WithCancel(context.Background())
	defer served()
	accepting, stopAccepting := context.WithCancel(serving)
	defer stopAccepting()

	now := &clock.Clock{}
	state := handover.NewStateDir(c.StateDir, log)
	inherited := c.ListenerFD >= 0
	memory, sockets := c.MemoryMB*(1<<20), c.MaxSockets
	if inherited { // one process replaces another while that serves: the limits count for both
		memory, sockets = memory/2, sockets/2
	}
	debug.SetMemoryLimit(int64(heapShare * memory))
	clients, mostConns := divideDescriptors(sockets, memory)
	pools := resp.NewPools(serving, resp.Options{DialTimeout: c.DialTimeout, IdleTimeout: c.IdleTimeout,
		MaxStreams: c.MaxStreams, MaxConns: mostConns, MaxSendDelay: c.MaxSendDelay}, now, log)
	core, err := router.New(c.Settings, c.Seed, now, pools, log)
	if err != nil {
		return err
	}
	if file != "" {
		core.PlanOnTick()
	}
	if err := core.ApplyFeatures(frame); err != nil {
		return fmt.Errorf("%s: %w", file, err)
	}
	apply := func(n router.WatchEvent) {
		pools.Apply(n)
		core.Apply(n)
	}
	var ready, ending atomic.Bool
	server := &msgpackrpc.Server{KeyRequired: keyedClasses(c), Handle: core.Serve, OnRejected: core.CountRejected, MaxConns: clients,
		MaxQueuedBytes: int64(requestQueueShare * memory), Clock: now, Log: log}
	server.IsReady = func() bool { return ready.Load() && !ending.Load() && !server.Draining() }
	listener, err := listenForClients(c)
	if err != nil {
		return err
	}
	var second net.Listener
	if c.AdminAddr != "" {
		if second, err = admin.Listen(serving, c.AdminAddr); err != nil {
			return err
		}
	}
	state.RestoreExcluded(core.SetExcluded)
	for _, n := range c.InitialEvents {
		apply(n)
	}
	if inherited {
		restoreLearnedState(core, state, log)
	}
	ready.Store(true)
	log.Info().Str("listen", c.ListenAddr).Uint64("known", c.LastEventID).Msg("serving")

	watcher := &discovery.Watcher{Names: c.Names, LastApplied: c.LastEventID, Apply: apply, Clock: now, Log: log,
		RetrySchedule: backoff.Schedule{Rank: c.Fleet.Rank, FleetSize: c.Settings.FleetSize}}
	watcher.SetAddress(c.DiscoveryAddr)
	group, serving := errgroup.WithContext(serving)
	var talk *gossip.Transport
	limits := on.FleetLimits()
	if (f.Peers || limits != nil || on.VerdictsEnabled()) && c.Fleet.GossipEnabled {
		if talk, err = newGossip(c, limits, on.LeaseTree(), on.VerdictsEnabled(), core, now, log); err != nil {
			return err
		}
	}
	if talk != nil {
		group.Go(func() error { return talk.Run(serving) })
	} else if limits != nil { // nobody to keep it with: an even share of all that are listed
		core.SetOriginFillQuota(limits[0].Max / float64(max(c.Settings.FleetSize, 1)))
	}
	group.Go(func() error { return watcher.Run(serving) })
	var files reloadCounters
	var longest atomic.Value // of a class's deadline, in milliseconds
	longest.Store(c.MaxDeadline)
	if second != nil {
		if err := state.ClaimServing(); err != nil {
			log.Warn().Err(err).Msg("can't say that this process serves")
		}
		staff := newAdminServer(core, server, pools, state, &files, log)
		staff.IsReady = server.IsReady
		group.Go(func() error { return staff.Serve(serving, second) })
		group.Go(func() error { return state.WatchExcluded(serving, core.SetExcluded) })
		if inherited {
			group.Go(func() error { return state.SaveLearnedState(serving, core.LearnedState) })
		}
	}
	var later *background.Runner
	if file != "" { // without the flag nothing new is on
		if later, err = background.New(now, uint64(c.Seed), log); err != nil {
			return err
		}
		later.Every(serving, "turn", tickInterval, scheduler.High, core.Tick)
		group.Go(func() error { return later.Run(serving) })
	}
	group.Go(func() error { return reportOnSignal(serving, core, server, talk, later, log) })
	group.Go(func() error {
		for {
			select {
			case <-serving.Done():
				return nil
			case <-signals.hangUp:
				c = reloadConfig(c, again, core, server, pools, watcher.SetAddress, &files, log)
				longest.Store(c.MaxDeadline)
				on = reloadFeatures(file, on, c, core, now, log)
			}
		}
	})
	group.Go(func() error {
		select {
		case <-signals.terminate.Done():
		case <-serving.Done():
			return nil
		}
		state.ReleaseServing() // first: whoever is told that this process is not ready must find its claim withdrawn
		ending.Store(true)
		stay, last, take := planShutdown(longest.Load().(float64))
		if inherited && state.IsReplaced() { // the other process takes what comes: to take more would only have it cut short
			stay = 0
		}
		log.Info().Bool("replaced", stay == 0).Msg("stopping")
		server.ShutdownTimeout = last + take - stay // these are read once accepting has ended
		server.ResponseReadTimeout, server.ShutdownGracePeriod = take, shutdownSlack(longest.Load().(float64))
		now.AfterFunc(stay, stopAccepting)
		now.AfterFunc(last, core.Close)
		return nil
	})
	group.Go(func() error {
		defer served()
		return server.Serve(accepting, listener)
	})
	err = group.Wait()
	logCounters(core, server, talk, log)
	if errors.Is(err, context.Canceled) {
		err = nil
	}
	return err
}

// reloadFeatures takes the features file in anew after SIGHUP and returns the one in force. A file that can't be used changes nothing.
func reloadFeatures(file string, old *features.File, c *config.Config, core *router.Router, now *clock.Clock, log zerolog.Logger) *features.File {
	if file == "" {
		return old
	}
	on, frame, err := loadFeatures(file, c)
	if err == nil {
		err = on.CheckReplaces(now.Now(), old)
	}
	if err != nil {
		log.Error().Err(err).Msg("new features can't be used")
		return old
	}
	if err := core.ApplyFeatures(frame); err != nil { // it was checked: this can't be
		log.Error().Err(err).Msg("new features can't be used")
	}
	version, shape := int64(0), int64(0)
	if frame.Cells != nil {
		version = frame.Cells.Version()
	}
	if frame.Topology != nil {
		shape = frame.Topology.Topology().Version
	}
	_, moving := core.MigrationStatus()
	log.Info().Int64("cells", version).Int64("shape", shape).Int64("moves", moving).Str("release", rolloutName(on)).Msg("new features")
	return on
}

func rolloutName(f *features.File) string {
	if s := f.ActiveRollout(); s != nil {
		return s.Name
	}
	return ""
}

// reportOnSignal prints the counters on SIGUSR1.
func reportOnSignal(ctx context.Context, core *router.Router, server *msgpackrpc.Server, talk *gossip.Transport, later *background.Runner, log zerolog.Logger) error {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGUSR1)
	defer signal.Stop(asked)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-asked:
			if later == nil {
				logCounters(core, server, talk, log)
			} else if err := later.Submit("report", scheduler.Normal, 1, func() { logCounters(core, server, talk, log) }); err != nil && !errors.Is(err, scheduler.ErrDuplicateJob) {
				log.Warn().Err(err).Msg("report put off")
			}
		}
	}
}

func logCounters(core *router.Router, server *msgpackrpc.Server, talk *gossip.Transport, log zerolog.Logger) {
	n := &core.Counters
	evicted, rejected, clientFaults := server.ConnectionCounts()
	log.Info().Int64("taken", n.Accepted.Load()).Int64("sent", n.Attempts.Load()).Int64("served", n.Served.Load()).
		Int64("refused", n.Rejected.Load()).Int64("failed", n.Failed.Load()).Int64("gone", n.Departed.Load()).
		Int64("overdue", n.Overdue.Load()).Int64("faults", n.Faults.Load()).Int64("client_faults", clientFaults).Int64("gave_way", evicted).
		Int64("turned_away", rejected).Msg("counters")
	if talk != nil {
		n := talk.Counts()
		log.Info().Int64("told", n.Sent).Int64("heard", n.Received).Int64("dropped", n.Dropped).Int64("found", n.OverloadsFound).Msg("peers")
		if all, living := talk.LimitStatuses(); all != nil {
			log.Info().Int("living", living).Interface("limits", all).Msg("fleet")
		}
	}
	if g := core.OriginLimitStatus(); g != nil {
		log.Info().Float64("limit", g.Limit).Float64("share", g.Share).Int("out", g.InFlight).Int("given_up", g.Abandoned).Float64("deep", g.OriginFraction).Msg("shield")
	}
	p, demand := core.CellStatus()
	if p == nil {
		return
	}
	line := log.Info().Int64("version", p.Version).Int64("admitted", p.Stats.Admitted).Int64("spilled", p.Stats.FellBack)
	for why, count := range p.Stats.Rejected {
		if count > 0 {
			line = line.Int64("refused: "+cells.Reason(why).String(), count)
		}
	}
	line.Interface("cells", p.Cells).Interface("heavy", p.HeavyTenants).Interface("objects", p.HeavyObjects).Msg("cells")
	if paths, version := core.MigrationStatus(); version > 0 {
		log.Info().Int64("version", version).Int64("moved", p.Stats.Migrated).Int64("kept", p.Stats.Deferred).Interface("moves", paths).Msg("moves")
	}
	if release := core.RolloutStatus(); release != nil {
		log.Info().Interface("stage", release).Msg("stage")
	}
	log.Info().Interface("demand", demand).Msg("demand")
}
