package cache

// Fault is a failure that a server injects instead of serving a request.
type Fault int

// Faults, with what the server does.
const (
	FaultNone      Fault = iota // serves the request
	FaultError                  // responds ERR
	FaultMalformed              // sends bytes that are not a valid response, and closes the connection
	FaultNoReply                // never responds
	FaultBusy                   // responds BUSY
)
