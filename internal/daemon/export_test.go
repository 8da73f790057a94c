package daemon

// Functions that stop the servers of a gateway's callers and of an agent.
var (
	ShutDownCallers = shutDownCallers
	ShutDownAgent   = shutDownAgent
)
