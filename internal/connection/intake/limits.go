// Package intake decides how much of a host's memory and descriptors callers may take
// before their requests are served, and whose connection is closed when that is used up.
// The load it answers: callers that announce or send more than they may, or send it slowly,
// all at a time. It has no state.
package intake

// Machine is what the process may use.
type Machine struct {
	// MemoryBytes is the memory, Descriptors the number of file descriptors; 0 means
	// unknown.
	MemoryBytes, Descriptors int
}

const (
	defaultMemoryBytes = 256 << 20
	defaultDescriptors = 4096
	// reservedDescriptors serve neither callers nor endpoints: files, the store and the
	// datagrams between hosts.
	reservedDescriptors = 300
	// connectionBytes is the memory of a connection without its request.
	connectionBytes = 16 << 10
	// minBodyMemory holds a body at the default limit while its buffer grows.
	minBodyMemory = 2 * DefaultBodyBytes
	minHeadMemory = 1 << 20
)

// DefaultBodyBytes limits a request's body if the configuration does not.
const DefaultBodyBytes = 4 << 20

// Limits are the totals of a process.
type Limits struct {
	// Callers, Peers and Others are the numbers of connections at the port of callers, that
	// of other hosts, and each further one.
	Callers, Peers, Others int
	// HeadMemory and BodyMemory are the bytes for the heads and bodies of requests.
	HeadMemory, BodyMemory int
}

// LimitsOf returns the limits on a machine.
func LimitsOf(m Machine) Limits {
	if m.MemoryBytes <= 0 {
		m.MemoryBytes = defaultMemoryBytes
	}
	if m.Descriptors <= 0 {
		m.Descriptors = defaultDescriptors
	}
	// An eighth of the descriptors is left to connections to endpoints.
	connections := min(max(m.Descriptors-reservedDescriptors, 0)*7/8, m.MemoryBytes/4/connectionBytes)
	return Limits{
		Callers:    max(connections*8/14, 16),
		Peers:      max(connections*3/14, 16),
		Others:     max(connections/14, 8),
		HeadMemory: max(m.MemoryBytes/16, minHeadMemory),
		BodyMemory: max(m.MemoryBytes/5, minBodyMemory),
	}
}

const (
	// headByteCost and headLineCost are the bytes of memory that a parsed head takes for
	// each of its bytes and lines.
	headByteCost = 2
	headLineCost = 128
	// freeHeadMemory is the part of each head that does not count against the total. Most
	// heads are smaller.
	freeHeadMemory = 8 << 10
	// smallBodyMemory is what a body may take of the eighth of the total that larger ones
	// leave to it.
	smallBodyMemory = 64 << 10
)

// HeadMemory returns what a head of a number of bytes and lines takes of the total.
func HeadMemory(bytes, lines int) int {
	return max(headByteCost*bytes+headLineCost*lines-freeHeadMemory, 0)
}

// BodyMemoryFor returns how much of the total for bodies may be in use with a body that
// takes some memory.
func (l Limits) BodyMemoryFor(body int) int {
	if body <= smallBodyMemory {
		return l.BodyMemory
	}
	return l.BodyMemory - l.BodyMemory/8
}
