package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/HdrHistogram/hdrhistogram-go"

	"spantack/core/cells"
	"spantack/core/hierarchy"
)

// Random number streams. Each purpose has its own, because otherwise a change in the use of one would affect the
// others.
const (
	floodStream   = 0xf100d
	miscStream    = 0x3153
	gossipStream  = 0x7a1c
	arrivalStream = 0xa11a // plus the site
	routerStream  = 0x4011 // plus routerStreamsPerSite times the site, plus the router's index there
)

const routerStreamsPerSite = 1000

// newRandom returns a random number generator for a stream, seeded with the seed of the configuration.
func (c *Config) newRandom(stream int) *rand.Rand {
	return rand.New(rand.NewPCG(c.Seed, uint64(stream)))
}

// New creates a world at the start of its run. It returns an error if the configuration is not valid.
func New(cfg Config) (*World, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	cfg.expandFaults()
	w := &World{
		config:        cfg,
		stopAt:        fromSeconds(cfg.WarmUpSeconds + cfg.DurationSeconds),
		floodRandom:   cfg.newRandom(floodStream),
		miscRandom:    cfg.newRandom(miscStream),
		objectNames:   map[uint64]string{},
		serversByName: map[string]int32{},
	}
	if err := w.compileDocuments(); err != nil {
		return nil, err
	}
	w.startMeasuring()
	w.computeDistributions()
	w.addOrigin()
	w.addParents()
	w.addSites()
	w.computeRateLimits()
	if err := w.addRouters(); err != nil {
		return nil, err
	}
	w.prefill()
	w.scheduleChanges()
	w.scheduleFaults()
	return w, nil
}

// compileDocuments validates and compiles the documents that the routers use.
func (w *World) compileDocuments() (err error) {
	cfg := &w.config
	if cfg.Cells != nil {
		if w.assignment, err = cells.Compile(cfg.Cells); err != nil {
			return err
		}
	}
	if cfg.OriginLimit != nil {
		if _, _, err := cfg.OriginLimit.Config(cfg.routerCount()); err != nil {
			return fmt.Errorf("shield.%w", err)
		}
	}
	if cfg.Topology != nil {
		if w.topology, err = hierarchy.Compile(cfg.Topology); err != nil {
			return fmt.Errorf("shape.%w", err)
		}
	}
	return w.compileChanges()
}

// Range and precision of the latency histograms.
const (
	maxLatency            = 9_999_999 * microsecond // longer latencies are recorded as this
	latencyHistogramLimit = 10 * second
	latencyDigits         = 3 // significant decimal digits that the histograms keep
)

// startMeasuring initializes the result, the latency histograms and the cell gauges.
func (w *World) startMeasuring() {
	w.result = newResult(&w.config)
	for i := range w.latency {
		w.latency[i] = hdrhistogram.New(1, latencyHistogramLimit, latencyDigits)
	}
	if w.config.Cells != nil {
		w.cellGauges = make([]cellGauge, w.config.Sites*len(w.config.Cells.Cells))
	}
}

// computeDistributions computes the cumulative distributions of tenants, objects and classes.
func (w *World) computeDistributions() {
	sum := 0.0
	for _, share := range w.config.TenantShares() {
		sum += share
		w.tenantCDF = append(w.tenantCDF, sum)
	}
	sum = 0
	for i := range w.config.Objects {
		sum += math.Pow(float64(i+1), -w.config.ObjectSkew)
		w.objectCDF = append(w.objectCDF, sum)
	}
	for i := range w.objectCDF {
		w.objectCDF[i] /= sum
	}
	sum = 0
	for i := range classModels {
		class := &classModels[i]
		sum += class.share / class.meanChunks() // share is by requests; a session sends one for each of its chunks
		w.classCumulativeWeight[i] = sum
	}
}

// addLink adds a link and returns its index. Capacity and maximum rate are in KB/s; see link for the knee.
func (w *World) addLink(kbPerSecond, maxRate, knee float64) int32 {
	w.links = append(w.links, link{capacity: kbPerSecond / 1e6, maxRate: maxRate / 1e6, knee: knee})
	return int32(len(w.links) - 1)
}

func (w *World) addOrigin() {
	capacity := w.config.originKBPerSecond()
	w.origin = w.addServer(simulatedServer{
		name:      "o-00000001",
		kind:      originServer,
		site:      noSite,
		streams:   capacity / responseKBPerSecond,
		maxActive: 1 << 30,
		link:      w.addLink(capacity, maxFillKBPerSecond, w.config.originKnee()),
	})
}

// parentRetentionSeconds is the size of a parent's store, as the time in which the parent sends that amount at full
// rate.
const parentRetentionSeconds = 27

func (w *World) addParents() {
	streams := w.config.streamsPerParent()
	for i := range w.config.Parents {
		w.addServer(simulatedServer{
			name:      parentName(i),
			kind:      parentServer,
			site:      noSite,
			hub:       i % max(w.config.Hubs, 1),
			streams:   streams,
			maxActive: int(activePerStream * streams),
			link:      w.addLink(streams*responseKBPerSecond, maxFillKBPerSecond, 0),
			store:     newLRU(parentRetentionSeconds * streams * responseKBPerSecond),
			fetches:   map[uint64]int32{},
		})
	}
}

// addSites adds the links, the edge caches and the random number generator for arrivals of each site.
func (w *World) addSites() {
	cfg := &w.config
	for site := range cfg.Sites {
		w.siteLinks = append(w.siteLinks, w.addLink(cfg.siteLinkKBPerSecond(), maxFillKBPerSecond, 0))
		w.cachesBySite = append(w.cachesBySite, nil)
		w.linkReports = append(w.linkReports, linkReport{})
		if cfg.RemoteHubCapacityFactor > 0 {
			for range cfg.Hubs {
				link := w.addLink(cfg.remoteHubKBPerSecond(), maxFillKBPerSecond, 0)
				w.remoteHubLinks = append(w.remoteHubLinks, link)
			}
		}
		for range cfg.CachesPerSite {
			w.addCache(site, 0)
		}
		w.arrivalRandom = append(w.arrivalRandom, cfg.newRandom(arrivalStream+site))
	}
}

// computeRateLimits computes the rate limit of each tenant at each router in requests per microsecond, if configured.
func (w *World) computeRateLimits() {
	cfg := &w.config
	if cfg.RateLimitFactor <= 0 {
		return
	}
	for _, share := range cfg.TenantShares() {
		limit := cfg.RateLimitFactor * share * cfg.RequestsPerSecond / float64(cfg.routerCount()) / 1e6
		w.rateLimits = append(w.rateLimits, limit)
	}
}

// addRouters starts all routers, and the arrivals and running sessions of their sites.
func (w *World) addRouters() error {
	for site := range w.config.Sites {
		for i := range w.config.RoutersPerSite {
			if err := w.addRouter(site, i); err != nil {
				return err
			}
		}
		w.push(event{time: w.arrivalGap(site), kind: eventArrival, target: int32(site)})
		w.startRunningSessions(site)
	}
	return nil
}

func (w *World) addRouter(site, index int) error {
	router := simulatedRouter{
		site:       site,
		inFrontend: true,
		random:     w.config.newRandom(routerStream + routerStreamsPerSite*site + index),
	}
	if skew := w.config.MaxClockSkewMillis; skew > 0 {
		router.clockOffset = int64((2*w.miscRandom.Float64() - 1) * skew * float64(millisecond))
	}
	w.routers = append(w.routers, router)
	return w.startRouter(int32(len(w.routers) - 1))
}

func (w *World) scheduleFaults() {
	for i, fault := range w.config.Faults {
		w.push(event{time: fromSeconds(fault.AtSeconds), kind: eventFault, target: int32(i)})
	}
	if flood := w.config.Flood; flood != nil {
		w.push(event{time: fromSeconds(flood.StartSeconds), kind: eventFloodRequest})
	}
}
