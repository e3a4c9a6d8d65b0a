package emulator

// Names of violations in results. Scripts and the claims of experiments refer to them.
const (
	violationColdServer            = "cold server pushed over"
	violationDrainedServer         = "sent to a drained server"
	violationTwoAttemptsInFlight   = "two attempts of a request out"
	violationTwoAttemptsAtServers  = "two attempts of a request at servers"
	violationTwoAnswers            = "two answers to a request"
	violationAnsweredDuringAttempt = "answered with an attempt out"
	violationPurgedCopy            = "an answer from a purged copy"
	violationOldVersion            = "an answer of the old version where its cell has the release"
	violationRolledBackVersion     = "an answer of a release that was taken back"
	violationGossipPayload         = "datagram that its own kind can't use"
	violationGossipServer          = "datagram on no server"
	violationRouterStart           = "router does not start: " // followed by the error
)

// countViolation adds 1 to the count of the violation with the given name.
func (r *Result) countViolation(name string) { r.Violations[name]++ }
