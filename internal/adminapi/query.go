package adminapi

// The URL parameters of queries.
const (
	// ParamProtocol is "tcp" or "udp", for PathFlow.
	ParamProtocol = "protocol"
	// ParamCaller is the caller's address and port, for PathFlow.
	ParamCaller = "caller"
	// ParamService is the service's name, for PathFlow.
	ParamService = "service"
	// ParamLimit is the maximum number of flows listed, for PathDump.
	ParamLimit = "limit"
)
