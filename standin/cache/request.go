package cache

import (
	"strconv"
	"strings"
	"time"
)

// Request is one received GET: one attempt of a client's request.
type Request struct {
	Server       string // name of the server that received it
	ID           string // the same in all attempts of one request
	Class        string
	Object       string
	Chunk        string
	FillFrom     string    // name of the server to fill a miss from; empty: misses are not filled
	CachedOnly   bool      // the server to fill from must use a cached copy, not the origin
	MaxAgeMillis int64     // maximum age of an acceptable copy; 0: no limit
	ArrivedAt    time.Time // when the kernel received the last bytes of the request
}

// parseRequest parses the parts of a command GET ID FIELDS BODY. Fields are NAME=VALUE, separated by commas. Unknown
// and malformed fields are ignored.
func parseRequest(server string, parts [][]byte, arrivedAt time.Time) Request {
	request := Request{Server: server, ID: string(parts[1]), ArrivedAt: arrivedAt}
	for field := range strings.SplitSeq(string(parts[2]), ",") {
		name, value, _ := strings.Cut(field, "=")
		switch name {
		case "sort":
			request.Class = value
		case "asset":
			request.Object = value
		case "slice":
			request.Chunk = value
		case "next":
			request.FillFrom = value
		case "ways":
			request.CachedOnly = strings.Contains(value, "held")
		case "agelim":
			request.MaxAgeMillis, _ = strconv.ParseInt(value, 10, 64)
		}
	}
	return request
}

// allows reports whether the request accepts a copy of the given age.
func (r Request) allows(age time.Duration) bool {
	return r.MaxAgeMillis == 0 || age <= time.Duration(r.MaxAgeMillis)*time.Millisecond
}
