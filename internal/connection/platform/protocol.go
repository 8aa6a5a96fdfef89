// Package platform speaks the published protocols of the platform that the
// fleet runs on: the log service, the host list and the weight store. All are
// JSON over HTTP.
package platform

// Streams of the log service that the fleet uses.
const (
	StreamConfig   = "config"
	StreamHomes    = "homes"
	StreamRequests = "requests"
)

// Paths of the log service; both take the stream's name in place of %s.
const (
	// PathAppend takes a POST of AppendRequest and answers AppendResponse.
	PathAppend = "/v1/streams/%s/append"
	// PathRead takes a GET with from (offset), max (records) and wait_ms (how
	// long to wait at the tail) and answers ReadResponse, or status 410 with
	// ReadResponse without records if from was trimmed away.
	PathRead = "/v1/streams/%s/records"
	// PathHosts takes a GET and answers HostList.
	PathHosts = "/v1/hosts"
	// PathWeights takes a GET of one model's weights by an engine. It answers
	// status 429 with Retry-After (seconds) beyond its rate.
	PathWeights = "/v1/weights/%s"
)

// AppendRequest asks to append records in order, all or none.
type AppendRequest struct {
	Records []AppendRecord `json:"records"`
}

// AppendRecord is one record to append.
type AppendRecord struct {
	// ID is chosen by the writer. The log does not look at it; readers use it
	// to recognize a record that was appended twice.
	ID string `json:"id"`
	// Data is the record's content; base64 in JSON.
	Data []byte `json:"data"`
}

// AppendResponse tells where the records stand.
type AppendResponse struct {
	// FirstOffset is the first record's offset; the others follow it.
	FirstOffset uint64 `json:"first_offset"`
}

// Record is one record as read.
type Record struct {
	// Offset grows by one for each record of a stream; the first is 1.
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
	Data   []byte `json:"data"`
	// AppendedMillis is the log's clock at the append, Unix milliseconds.
	AppendedMillis int64 `json:"appended_ms"`
}

// ReadResponse is a part of a stream.
type ReadResponse struct {
	Records []Record `json:"records"`
	// FirstOffset is the oldest offset that the log still has.
	FirstOffset uint64 `json:"first_offset"`
	// NextOffset is the offset that the next append will get.
	NextOffset uint64 `json:"next_offset"`
}

// HostState is what the platform believes of a host; it lags.
type HostState string

// The states of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// ListedHost is an entry of the host list.
type ListedHost struct {
	Name        string    `json:"name"`
	Address     string    `json:"address"`
	MeshAddress string    `json:"mesh_address"`
	Domain      string    `json:"domain"`
	State       HostState `json:"state"`
}

// HostList is the platform's list of hosts.
type HostList struct {
	Hosts []ListedHost `json:"hosts"`
}
