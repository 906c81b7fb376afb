package adminapi

// The URL parameters of queries.
const (
	// ParamProtocol is "tcp" or "udp", for PathFlow.
	ParamProtocol = "protocol"
	// ParamCaller is the caller's address and port, for PathFlow and PathExplain.
	ParamCaller = "caller"
	// ParamService is the service's name, for PathFlow; for PathExplain it may be an
	// address and port.
	ParamService = "service"
	// ParamLimit is the maximum number of flows listed, for PathDump, or of endpoints,
	// for PathExplain.
	ParamLimit = "limit"
)
