package process

import (
	"fmt"
	"testing"
	"time"

	"spantack/internal/msgpackrpc"
	"spantack/internal/router"
)

// Guards against a new edge cache that is taken for the one that had its address before: the old one dies, and the list
// has the new one before it says that the old one has gone, or never says so. The router must then know two caches, not
// three: the new one gets the work of one of two, and not that of its predecessor besides.
func TestNewCacheAtAnOldAddressGetsOneShare(t *testing.T) {
	const objects, most = 400, 0.6 // one of two caches gets 0.5, two of three would get 0.67
	d := startDeployment(t, Options{Routers: 1, EdgeCaches: 2})
	addr := d.EdgeCaches[1].Addr().String()
	d.EdgeCaches[1].Close()
	successor, err := d.addServer(kindEdgeCache, addr, 0)
	if err != nil {
		t.Fatal(err)
	}
	d.Discovery.Publish(false, d.endpoints[len(d.endpoints)-1])
	waitUntil(t, "a request at the new cache", func() bool {
		return askFor(t, d, fmt.Sprint("warm-up", time.Now().UnixNano())) && requestsAt(d, successor.Name()) > 0
	})
	time.Sleep(100 * time.Millisecond)
	before, total := requestsAt(d, successor.Name()), len(d.RequestLog.Requests())
	for object := range objects {
		askFor(t, d, fmt.Sprint(object))
	}
	sent := float64(len(d.RequestLog.Requests()) - total)
	if share := float64(requestsAt(d, successor.Name())-before) / sent; share > most {
		t.Errorf("the new cache got %.2f of %.0f requests, want at most %v", share, sent, most)
	}
}

// requestsAt returns the number of requests that have arrived at a server.
func requestsAt(d *Deployment, server string) (n int) {
	for _, request := range d.RequestLog.Requests() {
		if request.Server == server {
			n++
		}
	}
	return n
}

// askFor requests an object whose name is derived from text, and reports whether it was served.
func askFor(t *testing.T, d *Deployment, text string) bool {
	t.Helper()
	client, err := msgpackrpc.Dial(d.Routers[0].Addr, readyDialTimeoutMillis)
	if err != nil {
		return false
	}
	defer client.Close()
	id := fmt.Sprintf("%016x", time.Now().UnixNano())
	response, err := client.Do(contextWithLimit(t, callTimeout, "a response"), router.Request{
		Class: classVideo, ID: id, Object: ObjectName(1, int(hashOf(text))), ClientTimeout: 3000, SizeKB: objectKB,
	})
	return err == nil && response.Outcome == router.Served
}

// hashOf returns a number that is different for different short texts.
func hashOf(text string) (hash uint32) {
	for _, c := range []byte(text) {
		hash = hash*31 + uint32(c)
	}
	return hash
}
