package cache

// Fault is what a server does to a request instead of serving it.
type Fault int

// The faults.
const (
	FaultNone      Fault = iota // serves the request
	FaultError                  // responds ERR
	FaultMalformed              // sends bytes that are no response, and closes the connection
	FaultNoReply                // never responds
	FaultBusy                   // responds BUSY
)
