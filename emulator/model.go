package emulator

// Parameters of the model that are the same for all deployments: network delays, servers and classes of requests.

// responseKBPerSecond is the maximum rate of one response from a server.
const responseKBPerSecond = 1000.0

// maxFillKBPerSecond is the maximum rate of one fill from a parent or the origin.
const maxFillKBPerSecond = 3 * responseKBPerSecond

// One-way delays.
const (
	clientDelay         = 7 * millisecond   // between a client and a router of its site
	cacheDelay          = 400 * microsecond // between a router and an edge cache
	hubDelay            = 9 * millisecond   // between a site and its near hub
	remoteHubExtraDelay = 16 * millisecond  // added to hubDelay for any other hub
	defaultOriginDelay  = 12 * millisecond  // between a hub and the origin
)

// originServiceTime is the time between the arrival of a request at the origin and the start of the response.
const originServiceTime = 30 * millisecond

// Freshness of copies of the catalogue.
const (
	defaultFreshnessLifetime = 20 * second
	defaultStaleGracePeriod  = 10 * second
)

// chunkInterval is the time between two requests of a video session.
const chunkInterval = 590 * millisecond

// Warm-up of servers. The capacity rises linearly from the initial fraction to the full capacity. A warming server has
// a bound for the responses that are requested from it within overloadWindow: what it can send in that time at its
// current capacity, times its overload multiple. It crashes if the bound is exceeded, and restarts after
// overloadRestartDelay.
const (
	cacheInitialCapacity   = 0.32
	cacheWarmUpTime        = 11 * second
	cacheOverloadMultiple  = 3.0
	parentInitialCapacity  = 0.1
	parentWarmUpTime       = 17 * second
	parentOverloadMultiple = 2.0
	overloadWindow         = 3 * second
	overloadRestartDelay   = 3 * second
)

// Delays until notices and changes take effect. Names with max are upper bounds of random delays.
const (
	drainGracePeriod       = 500 * millisecond  // after a drain notice, routers may still send to the server
	frontendDetectionDelay = 2 * second         // after a crash, the frontend still sends clients to the router
	maxEndpointUpdateDelay = 1200 * millisecond // after an update of the endpoint list, until a router has it
	maxReloadDelay         = 2 * second         // after a change of a document, until a router has applied it
)

// Times that routers and servers take to receive and apply a purge. An attempt that a router sends more than
// purgeCheckDelay after the notice must not return a purged copy. purgeCheckDelay is longer than the grace period in
// the routers' settings (PurgeGracePeriod).
const (
	maxPurgeNoticeDelay  = 400 * millisecond
	purgeCheckDelay      = 500 * millisecond
	purgePropagationTime = 6 * second // time from the purge until every server has dropped its copies
)

// loadReportInterval is the interval between samples for the load reports of caches.
const loadReportInterval = 400 * millisecond

// Classes of requests, in the order of the classes in the routers' settings.
const (
	classVideo = iota
	classCatalogue
	classReport
	classCount
)

// classModel contains the model parameters of a request class. Sizes are log-normally distributed with mean meanKB.
type classModel struct {
	name                string
	share               float64 // fraction of all requests
	meanKB              float64
	sigma               float64 // sigma of the log-normal distribution of sizes
	minChunks           int     // minimum number of chunks of an object
	maxChunks           int     // maximum number of chunks of an object
	latencyObjectiveMs  float64
	deadlineMs          float64 // time after which the client times out
	objectiveSizeFactor float64 // the sending time at full rate, times this factor, is added to the objective
	weight              float64 // weight of a response within its latency objective
	lateWeightFactor    float64 // weight of a late response, as a fraction of weight
}

var classModels = [classCount]classModel{
	{"screen-video", 0.50, 370, 0.5, 9, 20, 600, 6000, 1.6, 2, 0.15},
	{"catalogue", 0.47, 60, 0.6, 1, 1, 400, 3000, 2, 1, 0.2},
	{"stock-report", 0.03, 20, 0.2, 1, 1, 600, 3000, 2, 3, 0},
}

// meanChunks returns the mean number of chunks of an object of the class.
func (c *classModel) meanChunks() float64 { return float64(c.minChunks+c.maxChunks) / 2 }

// meanRequestKB returns the mean response size under normal load in KB. Each chunk of a video counts as one response.
func meanRequestKB() (sum float64) {
	for _, c := range classModels {
		sum += c.share * c.meanKB
	}
	return sum
}
