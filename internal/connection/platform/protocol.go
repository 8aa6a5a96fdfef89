// Package platform implements clients and message types of the platform's
// published protocols: the log service, the host list and the weight store. All
// use JSON over HTTP.
package platform

// Streams of the log service.
const (
	StreamConfig   = "config"
	StreamHomes    = "homes"
	StreamRequests = "requests"
)

// Paths of the platform's services. PathAppend and PathRead contain the
// stream's name in place of %s.
const (
	// PathAppend serves POST of AppendRequest and returns AppendResponse.
	PathAppend = "/v1/streams/%s/append"
	// PathRead serves GET with the parameters from (offset), max (records) and
	// wait_ms (how long to wait at the tail). It returns ReadResponse, or status
	// 410 with a ReadResponse without records if from was trimmed.
	PathRead = "/v1/streams/%s/records"
	// PathHosts serves GET and returns HostList.
	PathHosts = "/v1/hosts"
	// PathWeights serves GET, by an engine, of the weights of the model in place
	// of %s. Requests beyond the rate limit get status 429 with Retry-After in
	// seconds.
	PathWeights = "/v1/weights/%s"
)

// AppendRequest asks to append records in order and atomically.
type AppendRequest struct {
	Records []AppendRecord `json:"records"`
}

// AppendRecord is one record to append.
type AppendRecord struct {
	// ID is set by the writer and not interpreted by the log. Readers use it to
	// detect a record that was appended twice.
	ID string `json:"id"`
	// Data is the content of the record, base64 in JSON.
	Data []byte `json:"data"`
}

// AppendResponse is the result of an append.
type AppendResponse struct {
	// FirstOffset is the offset of the first record; the other records follow
	// it.
	FirstOffset uint64 `json:"first_offset"`
}

// Record is one record of a stream.
type Record struct {
	// Offset increases by one with each record of a stream; the first is 1.
	Offset uint64 `json:"offset"`
	ID     string `json:"id"`
	Data   []byte `json:"data"`
	// AppendedMillis is the time of the append on the log's clock, in Unix
	// milliseconds.
	AppendedMillis int64 `json:"appended_ms"`
}

// ReadResponse is a range of a stream.
type ReadResponse struct {
	Records []Record `json:"records"`
	// FirstOffset is the oldest offset that the log still holds.
	FirstOffset uint64 `json:"first_offset"`
	// NextOffset is the offset of the next record to be appended.
	NextOffset uint64 `json:"next_offset"`
}

// HostState is the state of a host as known to the platform. It is updated with
// a delay.
type HostState string

// States of a listed host.
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
