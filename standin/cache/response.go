package cache

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"
)

// Statuses of a response on the wire: its second part.
const (
	statusOK    = "OK"
	statusMiss  = "MISS"
	statusError = "ERR"
	statusBusy  = "BUSY"
)

// noFields stands for the third part of a response that says nothing more.
const noFields = "-"

// cacheStatus is the value of the field n of a response: where the copy came from, or why there is none.
type cacheStatus string

const (
	cacheHit          cacheStatus = "TCP_HIT"
	filledFromCache   cacheStatus = "TCP_MISS"
	filledByOrigin    cacheStatus = "TCP_MISS_ROOT" // by the origin, through a parent without a copy or directly
	fillSourceMissing cacheStatus = "PEER_DEAD"
	fillSourceMiss    cacheStatus = "PEER_MISS"
)

// noReplyWait is the time after which a request that is not to be answered is given up, if its client hasn't done so.
const noReplyWait = time.Hour

// Size of the bodies that the origin has, in bytes: from minBodySize up to below minBodySize+bodySizeSpan.
const (
	minBodySize  = 200
	bodySizeSpan = 1800
)

// Body returns what the origin has under an object and chunk, so that a client can check what it got.
func Body(object, chunk string) []byte {
	hash := fnv.New64a()
	fmt.Fprintf(hash, "%s/%s", object, chunk)
	sum := hash.Sum64()
	body := make([]byte, minBodySize+sum%bodySizeSpan)
	for i := range body {
		body[i] = byte(sum >> (i % 8 * 8))
	}
	return body
}

// fetchResult is what a server found for a request, in its own store or at the server to fill from.
type fetchResult struct {
	status    cacheStatus
	found     bool          // createdAt is that of a copy
	createdAt time.Time     // when the origin gave the copy out
	delay     time.Duration // that the server to fill from adds
}

// respond works out the parts of the response to a request, which the returned fault may keep from being sent. It
// waits for as long as the server takes, and returns FaultNoReply at once when the request is cancelled.
func (s *Server) respond(request Request, cancelled <-chan struct{}) ([][]byte, Fault) {
	fault := FaultNone
	if s.options.InjectFault != nil {
		fault = s.options.InjectFault(request)
	}
	startedAt := time.Now()
	result := s.fetch(request, fault)
	if result.status == filledByOrigin {
		defer s.options.RequestLog.beginOriginFill()()
	}
	wait := s.options.Delay
	if fault == FaultNoReply {
		wait = noReplyWait
	}
	if !sleep(wait+result.delay, cancelled) {
		return nil, FaultNoReply
	}
	switch fault {
	case FaultNone:
		return s.response(request, result, startedAt), FaultNone
	case FaultError:
		return emptyResponse(request.ID, statusError), FaultNone
	case FaultBusy:
		return emptyResponse(request.ID, statusBusy), FaultNone
	default:
		return nil, fault
	}
}

// sleep waits for d and returns true, or false at once when the request is cancelled.
func sleep(d time.Duration, cancelled <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-cancelled:
		return false
	}
}

// fetch looks a request's object up and, where the server has no copy, fills it from the server that the request
// names. A fault keeps it from filling.
func (s *Server) fetch(request Request, fault Fault) fetchResult {
	createdAt, found := s.lookup(request)
	if found || fault != FaultNone || request.FillFrom == "" || s.options.FindServer == nil {
		return fetchResult{status: cacheHit, found: found, createdAt: createdAt}
	}
	source := s.options.FindServer(request.FillFrom)
	if source == nil {
		return fetchResult{status: fillSourceMissing}
	}
	result := source.fill(request)
	result.delay = source.options.Delay
	return result
}

// fill returns a copy for another server. Without one it takes it from the origin, unless the request says that only
// a cached copy will do.
func (s *Server) fill(request Request) fetchResult {
	createdAt, found := s.lookup(request)
	switch {
	case found && s.options.IsOrigin:
		return fetchResult{status: filledByOrigin, found: true, createdAt: createdAt}
	case found:
		return fetchResult{status: filledFromCache, found: true, createdAt: createdAt}
	case request.CachedOnly:
		return fetchResult{status: fillSourceMiss}
	}
	now := time.Now()
	s.store(request, now)
	return fetchResult{status: filledByOrigin, found: true, createdAt: now}
}

// response returns the parts of the response of a server without a fault, and stores the copy in it.
func (s *Server) response(request Request, result fetchResult, startedAt time.Time) [][]byte {
	id := []byte(request.ID)
	switch {
	case result.status == fillSourceMissing:
		return [][]byte{id, []byte(statusError), []byte("n=" + fillSourceMissing)}
	case result.status == fillSourceMiss:
		return [][]byte{id, []byte(statusMiss), []byte("n=" + fillSourceMiss)}
	case !result.found:
		return emptyResponse(request.ID, statusMiss)
	}
	s.store(request, result.createdAt)
	fields := "n=" + string(result.status) + ",t0=" + strconv.FormatInt(result.createdAt.UnixMilli(), 10)
	if result.status != cacheHit {
		fields += ",slow=" + strconv.FormatInt(time.Since(startedAt).Milliseconds(), 10)
	}
	return [][]byte{id, []byte(statusOK), []byte(fields), Body(request.Object, request.Chunk)}
}

// emptyResponse returns the parts of a response that has neither fields nor body.
func emptyResponse(id, status string) [][]byte {
	return [][]byte{[]byte(id), []byte(status), []byte(noFields)}
}

// lookup returns when the origin gave out the server's copy, and whether there is one. The origin has one of this
// moment.
func (s *Server) lookup(request Request) (createdAt time.Time, found bool) {
	if s.options.IsOrigin {
		return time.Now(), true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	createdAt, found = s.createdAt[copyKey{request.Object, request.Chunk}]
	return createdAt, found
}

// store notes that the server has a copy. The origin needs none.
func (s *Server) store(request Request, createdAt time.Time) {
	if s.options.IsOrigin {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.createdAt[copyKey{request.Object, request.Chunk}] = createdAt
}
