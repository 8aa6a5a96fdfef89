package gateway

import (
	"bytes"
	"compress/flate"
	"io"
	"net/url"
	"sync"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"

	"mustarddoor/internal/process/keyed"
)

const (
	// packedField is the query field with which a host asks for a compressed reply. Hosts of
	// older versions ignore it.
	packedField = "packed"
	// minPackedBytes is the size from which a reply is compressed.
	minPackedBytes = 2 << 10
	// maxUnpackedBytes limits the size of a reply after it was decompressed.
	maxUnpackedBytes = maxStateBytes
	// maxPackedReplies is the number of compressed replies kept of each topic. Hosts that
	// follow this one ask for the same records at nearly the same time.
	maxPackedReplies = 2
)

// acceptsPacked reports whether the host that sent a query reads compressed replies.
func acceptsPacked(query url.Values) bool { return query.Get(packedField) != "" }

// pack compresses encoded data.
func pack(data []byte) ([]byte, error) {
	packed := bytes.Buffer{}
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, eris.Wrap(err, "compress")
	}
	return packed.Bytes(), nil
}

// unpack reverts pack. It fails if the result is larger than maxUnpackedBytes.
func unpack(packed []byte) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxUnpackedBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "decompress")
	}
	if len(data) > maxUnpackedBytes {
		return nil, eris.Errorf("decompress: more than %d bytes", maxUnpackedBytes)
	}
	return data, nil
}

// packedContent is what a reply has in compressed form: the records of a topic, or
// snapshots of its content.
type packedContent struct {
	Records  []keyed.Record  `cbor:"1,keyasint,omitempty"`
	Snapshot *keyed.Snapshot `cbor:"2,keyasint,omitempty"`
}

// unpackContent decodes a compressed content.
func unpackContent(packed []byte) (packedContent, error) {
	content := packedContent{}
	data, err := unpack(packed)
	if err != nil {
		return content, err
	}
	return content, eris.Wrap(wire.Unmarshal(data, &content), "decode")
}

// packedKey identifies the content of a reply: the records between two positions, or a
// snapshot.
type packedKey struct {
	from, next keyed.Position
	isSnapshot bool
	// earlier and kept distinguish snapshots taken after the store was restored.
	earlier keyed.Position
	kept    int
}

// snapshotKey returns the key of a snapshot.
func snapshotKey(snapshot *keyed.Snapshot) packedKey {
	return packedKey{next: snapshot.Position, isSnapshot: true, earlier: snapshot.Earlier, kept: len(snapshot.Kept)}
}

// packedReply is a content that is compressed once.
type packedReply struct {
	key  packedKey
	once sync.Once
	// data is nil if the content is not compressed.
	data []byte
	err  error
}

// packedReplies keeps the compressed contents of a topic that were asked for last.
type packedReplies struct {
	packed metrics.Counter

	mu   sync.Mutex
	kept []*packedReply
}

// newPackedReplies returns the compressed replies of topics, of which there are none yet.
func newPackedReplies(registry metrics.Registry, topics ...*keyed.Topic) map[*keyed.Topic]*packedReplies {
	replies := map[*keyed.Topic]*packedReplies{}
	for _, topic := range topics {
		replies[topic] = &packedReplies{packed: metrics.GetOrRegisterCounter("store.replies_packed", registry)}
	}
	return replies
}

// get returns a content in compressed form, or nil if it is too small for that.
func (p *packedReplies) get(key packedKey, content packedContent) ([]byte, error) {
	reply := p.entry(key)
	reply.once.Do(func() {
		data, err := wire.Marshal(content)
		if err != nil || len(data) < minPackedBytes {
			reply.err = eris.Wrap(err, "encode")
			return
		}
		p.packed.Inc(1)
		reply.data, reply.err = pack(data)
	})
	return reply.data, reply.err
}

// entry returns the kept entry of a key, or a new one in place of the oldest.
func (p *packedReplies) entry(key packedKey) *packedReply {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, reply := range p.kept {
		if reply.key == key {
			return reply
		}
	}
	reply := &packedReply{key: key}
	p.kept = append(p.kept, reply)
	if over := len(p.kept) - maxPackedReplies; over > 0 {
		p.kept = append([]*packedReply(nil), p.kept[over:]...)
	}
	return reply
}
