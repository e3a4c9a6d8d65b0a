package emulator

// What the model assumes of all deployments: delays of the network, servers, and classes of requests.

// responseKBPerSecond is the rate at which a server sends one response, if its link allows it.
const responseKBPerSecond = 1000.0

// maxFillKBPerSecond is the rate of one fill from a parent or the origin, if the links on its path allow it.
const maxFillKBPerSecond = 3 * responseKBPerSecond

// One-way delays.
const (
	clientDelay         = 7 * millisecond   // between a client and a router of its site
	cacheDelay          = 400 * microsecond // between a router and an edge cache
	hubDelay            = 9 * millisecond   // between a site and its near hub
	remoteHubExtraDelay = 16 * millisecond  // added to hubDelay for any other hub
	defaultOriginDelay  = 12 * millisecond  // between a hub and the origin
)

// originServiceTime is what the origin takes for any request before it sends.
const originServiceTime = 30 * millisecond

// Freshness of copies of the catalogue.
const (
	defaultFreshnessLifetime = 20 * second
	defaultStaleGracePeriod  = 10 * second
)

// chunkInterval is the time between two chunks that a video session requests.
const chunkInterval = 590 * millisecond

// Warm-up of servers: capacity rises linearly from the initial fraction to all of it. A server that receives more
// within overloadWindow than its multiple of that capacity crashes, and runs again after overloadRestartDelay.
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

// Delays of notices.
const (
	drainGracePeriod       = 500 * millisecond  // a router may still send to a server this long after the drain notice
	frontendDetectionDelay = 2 * second         // clients are sent to a router that died for so long
	maxEndpointUpdateDelay = 1200 * millisecond // until a router has an update of the endpoint list
	maxReloadDelay         = 2 * second         // until a router has applied a changed document
)

// Purges: what routers and servers need to receive and apply one.
const (
	maxPurgeNoticeDelay  = 400 * millisecond
	purgeGracePeriod     = 500 * millisecond // a router may still answer from a purged copy this long after the notice
	purgePropagationTime = 6 * second        // until every server has dropped its copies
)

// loadReportInterval is how old a cache's load report is at most.
const loadReportInterval = 400 * millisecond

// Classes of requests, in the order of the routers' settings.
const (
	classVideo = iota
	classCatalogue
	classReport
	classCount
)

// classModel is what the model assumes of a request class. Sizes are spread log-normally about the mean.
type classModel struct {
	name                string
	share               float64 // of requests
	meanKB              float64
	sigma               float64 // of the log-normal distribution of sizes
	minChunks           int     // of an object
	maxChunks           int
	latencyObjectiveMs  float64
	deadlineMs          float64 // after which the client gives up
	objectiveSizeFactor float64 // the latency objective grows by the time of sending, times this
	weight              float64 // of an answer within its latency objective
	lateWeightFactor    float64 // of the weight that a late answer still has
}

var classModels = [classCount]classModel{
	{"screen-video", 0.50, 370, 0.5, 9, 20, 600, 6000, 1.6, 2, 0.15},
	{"catalogue", 0.47, 60, 0.6, 1, 1, 400, 3000, 2, 1, 0.2},
	{"stock-report", 0.03, 20, 0.2, 1, 1, 600, 3000, 2, 3, 0},
}

// meanChunks returns the mean number of chunks of an object of the class.
func (c *classModel) meanChunks() float64 { return float64(c.minChunks+c.maxChunks) / 2 }

// meanRequestKB returns the mean size of a request on a calm day, each chunk of a video counted as one.
func meanRequestKB() (sum float64) {
	for _, c := range classModels {
		sum += c.share * c.meanKB
	}
	return sum
}
