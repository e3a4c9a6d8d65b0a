package cache

import (
	"strconv"
	"strings"
	"time"
)

// Request is one GET as it arrived: one attempt of a client's request.
type Request struct {
	Server       string // name of the server that it reached
	ID           string // the same in all attempts of one request
	Class        string
	Object       string
	Chunk        string
	FillFrom     string    // name of the server to fill a miss from; empty: a miss is not filled
	CachedOnly   bool      // the server to fill from responds with a cached copy or none
	MaxAgeMillis int64     // greatest age of a copy that will do; 0: any
	ArrivedAt    time.Time // when the kernel had received all of it
}

// parseRequest reads the parts of a command GET ID FIELDS BODY. Fields are NAME=VALUE with commas between them; a
// field that is not known, or not well formed, is passed over.
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
