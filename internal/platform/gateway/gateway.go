// Package gateway holds the messages of the subset of etcd's JSON gateway (API
// version 3) that the platform client uses: ranges, transactions, leases and
// watches. Keys and values are base64 text, 64-bit numbers are decimal
// strings and zero values are omitted, as in the protobuf JSON mapping.
package gateway

// The paths of the gateway; every call is a POST.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// ResponseHeader is the header of every response.
type ResponseHeader struct {
	// Revision is the store's revision at the time of the response.
	Revision int64 `json:"revision,string,omitempty"`
}

// KeyValue is one stored key.
type KeyValue struct {
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	// Version counts the writes to the key since it was created.
	Version int64  `json:"version,string,omitempty"`
	Value   []byte `json:"value,omitempty"`
	// Lease is the ID of the lease that the key is attached to; 0 means none.
	Lease int64 `json:"lease,string,omitempty"`
}

// RangeRequest reads the keys from Key up to but without RangeEnd, or Key
// alone when RangeEnd is empty.
type RangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// Limit caps the number of keys; 0 means no limit.
	Limit int64 `json:"limit,string,omitempty"`
	// Revision to read at; 0 means the latest.
	Revision int64 `json:"revision,string,omitempty"`
	KeysOnly bool  `json:"keys_only,omitempty"`
}

// RangeResponse is the response to a RangeRequest, sorted by key.
type RangeResponse struct {
	Header ResponseHeader `json:"header"`
	KVs    []KeyValue     `json:"kvs,omitempty"`
	// More tells that Limit left out some keys.
	More bool `json:"more,omitempty"`
	// Count is the number of keys in the range, whatever the limit.
	Count int64 `json:"count,string,omitempty"`
}

// PutRequest stores a value, attached to a lease unless that is 0.
type PutRequest struct {
	Key   []byte `json:"key,omitempty"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRangeRequest removes the keys from Key up to but without RangeEnd, or
// Key alone when RangeEnd is empty.
type DeleteRangeRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// The targets of a comparison that are used.
const (
	TargetCreate = "CREATE"
	TargetMod    = "MOD"
)

// ResultEqual is the only comparison that is used.
const ResultEqual = "EQUAL"

// Compare is one condition of a transaction.
type Compare struct {
	Result         string `json:"result,omitempty"`
	Target         string `json:"target,omitempty"`
	Key            []byte `json:"key,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
}

// RequestOp is one operation of a transaction; one field is set.
type RequestOp struct {
	Range       *RangeRequest       `json:"request_range,omitempty"`
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest atomically runs Success if all comparisons hold, else Failure.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
	Failure []RequestOp `json:"failure,omitempty"`
}

// ResponseOp is the result of one RequestOp.
type ResponseOp struct {
	Range *RangeResponse `json:"response_range,omitempty"`
}

// TxnResponse is the response to a TxnRequest.
type TxnResponse struct {
	Header    ResponseHeader `json:"header"`
	Succeeded bool           `json:"succeeded,omitempty"`
	Responses []ResponseOp   `json:"responses,omitempty"`
}

// LeaseGrantRequest requests a lease; the server chooses the ID when it is 0.
type LeaseGrantRequest struct {
	// TTL is in seconds.
	TTL int64 `json:"TTL,string,omitempty"`
	ID  int64 `json:"ID,string,omitempty"`
}

// LeaseGrantResponse holds the lease ID and the granted time to live in seconds.
type LeaseGrantResponse struct {
	Header ResponseHeader `json:"header"`
	ID     int64          `json:"ID,string,omitempty"`
	TTL    int64          `json:"TTL,string,omitempty"`
}

// LeaseRequest keeps a lease alive or revokes it.
type LeaseRequest struct {
	ID int64 `json:"ID,string,omitempty"`
}

// LeaseRevokeResponse is the response to a revocation.
type LeaseRevokeResponse struct {
	Header ResponseHeader `json:"header"`
}

// LeaseKeepAliveResult is one message of the keep-alive stream. TTL is in seconds;
// 0 means that the lease no longer exists.
type LeaseKeepAliveResult struct {
	Header ResponseHeader `json:"header"`
	ID     int64          `json:"ID,string,omitempty"`
	TTL    int64          `json:"TTL,string,omitempty"`
}

// LeaseKeepAliveResponse wraps a message of the keep-alive stream.
type LeaseKeepAliveResponse struct {
	Result LeaseKeepAliveResult `json:"result"`
	Error  *StreamError         `json:"error,omitempty"`
}

// WatchRequest opens one watch on the stream.
type WatchRequest struct {
	Create *WatchCreateRequest `json:"create_request,omitempty"`
}

// WatchCreateRequest requests the changes of a range from StartRevision on.
type WatchCreateRequest struct {
	Key      []byte `json:"key,omitempty"`
	RangeEnd []byte `json:"range_end,omitempty"`
	// StartRevision is the first revision to report; 0 means from now on.
	StartRevision int64 `json:"start_revision,string,omitempty"`
	// WatchID is chosen by the client and unique on the stream.
	WatchID int64 `json:"watch_id,string,omitempty"`
}

// EventDelete is the type of a deletion; a put has no type in JSON.
const EventDelete = "DELETE"

// Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is one message of the watch stream: Created confirms a watch, and
// Canceled ends it.
type WatchResult struct {
	Header       ResponseHeader `json:"header"`
	WatchID      int64          `json:"watch_id,string,omitempty"`
	Created      bool           `json:"created,omitempty"`
	Canceled     bool           `json:"canceled,omitempty"`
	CancelReason string         `json:"cancel_reason,omitempty"`
	// CompactRevision is set when StartRevision has been compacted.
	CompactRevision int64   `json:"compact_revision,string,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// WatchResponse wraps a message of the watch stream.
type WatchResponse struct {
	Result WatchResult  `json:"result"`
	Error  *StreamError `json:"error,omitempty"`
}

// StreamError is the error that ends a stream.
type StreamError struct {
	Code    int    `json:"grpc_code,omitempty"`
	Message string `json:"message,omitempty"`
}

// The gRPC status codes that the client distinguishes.
const (
	CodeNotFound    = 5
	CodeOutOfRange  = 11
	CodeUnavailable = 14
)

// Failure is the body of a response other than 200 OK.
type Failure struct {
	Error   string `json:"error,omitempty"`
	Code    int    `json:"code,omitempty"`
	Message string `json:"message,omitempty"`
}
