package cache

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"strconv"
	"time"
)

// Statuses of a response: its second part on the wire.
const (
	statusOK    = "OK"
	statusMiss  = "MISS"
	statusError = "ERR"
	statusBusy  = "BUSY"
)

// noFields is the third part of a response without fields.
const noFields = "-"

// cacheStatus is the value of the field n of a response: the source of the copy, or why there is no copy.
type cacheStatus string

const (
	cacheHit            cacheStatus = "TCP_HIT"
	filledFromCache     cacheStatus = "TCP_MISS"
	filledByOrigin      cacheStatus = "TCP_MISS_ROOT" // by the origin, directly or through a cache that has no copy
	fillSourceUnknown   cacheStatus = "PEER_DEAD"     // the server to fill from does not exist
	fillSourceHasNoCopy cacheStatus = "PEER_MISS"     // the server to fill from has no copy
)

// noReplyWait is how long a request with FaultNoReply stays open unless its client cancels it.
const noReplyWait = time.Hour

// Bodies have minBodySize to minBodySize+bodySizeSpan-1 bytes.
const (
	minBodySize  = 200
	bodySizeSpan = 1800
)

// Body returns the body of a chunk of an object. It depends only on the arguments, so a client can verify a response.
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

// fetchResult is the outcome of looking up a copy in a server's own store or at the server to fill from.
type fetchResult struct {
	status    cacheStatus
	found     bool          // there is a copy
	createdAt time.Time     // when the origin served the copy
	delay     time.Duration // added by the server to fill from
}

// respond returns the parts of the response to a request, and FaultNone. ERR and BUSY are responses too. If a fault
// replaces the response, respond returns no parts and that fault. Before it returns, it waits for the delay of the
// server and, in case of a fill, for the delay of the server to fill from. When the request is cancelled, respond
// returns FaultNoReply immediately.
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

// sleep waits for d and returns true. If cancelled is closed during the wait, it returns false immediately.
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

// fetch looks up the copy for a request. If the server has no copy, fetch fills it from the server that the request
// names, unless a fault is injected.
func (s *Server) fetch(request Request, fault Fault) fetchResult {
	createdAt, found := s.lookup(request)
	if found || fault != FaultNone || request.FillFrom == "" || s.options.FindServer == nil {
		return fetchResult{status: cacheHit, found: found, createdAt: createdAt}
	}
	source := s.options.FindServer(request.FillFrom)
	if source == nil {
		return fetchResult{status: fillSourceUnknown}
	}
	result := source.fill(request)
	result.delay = source.options.Delay
	return result
}

// fill returns a copy for another server. If this server has no copy, fill fetches one from the origin, unless the
// request has CachedOnly set.
func (s *Server) fill(request Request) fetchResult {
	createdAt, found := s.lookup(request)
	switch {
	case found && s.options.IsOrigin:
		return fetchResult{status: filledByOrigin, found: true, createdAt: createdAt}
	case found:
		return fetchResult{status: filledFromCache, found: true, createdAt: createdAt}
	case request.CachedOnly:
		return fetchResult{status: fillSourceHasNoCopy}
	}
	now := time.Now()
	s.store(request, now)
	return fetchResult{status: filledByOrigin, found: true, createdAt: now}
}

// response returns the parts of the response for a fetch result, and stores the copy if there is one.
func (s *Server) response(request Request, result fetchResult, startedAt time.Time) [][]byte {
	id := []byte(request.ID)
	switch {
	case result.status == fillSourceUnknown:
		return [][]byte{id, []byte(statusError), []byte("n=" + fillSourceUnknown)}
	case result.status == fillSourceHasNoCopy:
		return [][]byte{id, []byte(statusMiss), []byte("n=" + fillSourceHasNoCopy)}
	case !result.found:
		return emptyResponse(request.ID, statusMiss)
	}
	s.store(request, result.createdAt)
	fields := "n=" + string(result.status) + ",t0=" + strconv.FormatInt(result.createdAt.UnixMilli(), 10)
	if result.status != cacheHit {
		fields += ",slow=" + strconv.FormatInt(time.Since(startedAt).Milliseconds(), 10)
	}
	body := Body(request.Object, request.Chunk)
	if s.options.BodySize > 0 {
		body = bytes.Repeat(body, s.options.BodySize/len(body)+1)[:s.options.BodySize]
	}
	return [][]byte{id, []byte(statusOK), []byte(fields), body}
}

// emptyResponse returns the parts of a response without fields and body.
func emptyResponse(id, status string) [][]byte {
	return [][]byte{[]byte(id), []byte(status), []byte(noFields)}
}

// lookup returns when the origin served the copy that this server has, and whether there is a copy that is not older than
// the request allows. The origin always has one, created at the time of the call.
func (s *Server) lookup(request Request) (createdAt time.Time, found bool) {
	if s.options.IsOrigin {
		return time.Now(), true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	createdAt, found = s.createdAt[copyKey{request.Object, request.Chunk}]
	return createdAt, found && request.allows(time.Since(createdAt))
}

// store records that the server has a copy. It does nothing for the origin, which always has one.
func (s *Server) store(request Request, createdAt time.Time) {
	if s.options.IsOrigin {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.createdAt[copyKey{request.Object, request.Chunk}] = createdAt
}
