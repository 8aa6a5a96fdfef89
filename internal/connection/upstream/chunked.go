package upstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/rotisserie/eris"
)

// chunkedReader decodes a body in chunked encoding. Unlike the decoder of net/http it
// returns what has arrived of a chunk before it waits for the rest, and goes on after a
// read that has timed out.
type chunkedReader struct {
	source *bufio.Reader
	state  chunkState
	// remaining is the number of bytes of the current chunk that have not been read.
	remaining uint64
	// line is the part of a line that has been read.
	line []byte
	// trailerBytes is the size of the trailer so far.
	trailerBytes int
	// end is io.EOF after the end of the body, or the error that ended it.
	end error
}

// chunkState is what comes next in a chunked body.
type chunkState uint8

const (
	chunkSizeLine chunkState = iota
	chunkData
	chunkDataEnd
	chunkTrailer
)

const (
	// maxChunkLineBytes is the maximum length of the line before a chunk and of a line of
	// the trailer.
	maxChunkLineBytes = 4096
	// maxTrailerBytes is the maximum size of the trailer.
	maxTrailerBytes = 64 << 10
	// maxChunkSizeDigits is the maximum number of digits of a chunk's size.
	maxChunkSizeDigits = 15
)

var (
	errMalformedChunk = eris.New("malformed chunked encoding")
	errTrailerTooLong = eris.New("the trailer of the body exceeds the limit")
)

func newChunkedReader(source *bufio.Reader) *chunkedReader { return &chunkedReader{source: source} }

// Read implements io.Reader. It waits only while it has nothing to return.
func (r *chunkedReader) Read(buffer []byte) (int, error) {
	n := 0
	for r.end == nil && n < len(buffer) {
		if n > 0 && r.source.Buffered() == 0 {
			return n, nil
		}
		read, err := r.step(buffer[n:])
		n += read
		if err != nil {
			return n, err
		}
	}
	return n, r.end
}

// step reads some data of a chunk, or one byte of a line. It returns errors of the source,
// which may be temporary, and keeps errors of the encoding in end.
func (r *chunkedReader) step(buffer []byte) (int, error) {
	if r.state == chunkData {
		n, err := r.source.Read(buffer[:min(uint64(len(buffer)), r.remaining)])
		r.remaining -= uint64(n)
		if r.remaining == 0 {
			r.state = chunkDataEnd
		}
		return n, r.keepEnd(err)
	}
	b, err := r.source.ReadByte()
	if err != nil {
		return 0, r.keepEnd(err)
	}
	r.line = append(r.line, b)
	if b != '\n' {
		if len(r.line) > maxChunkLineBytes {
			r.end = errMalformedChunk
		}
		return 0, nil
	}
	line, isTerminated := bytes.CutSuffix(r.line, []byte("\r\n"))
	r.line = r.line[:0]
	if !isTerminated || bytes.IndexByte(line, '\r') >= 0 {
		r.end = errMalformedChunk
		return 0, nil
	}
	r.endLine(line)
	return 0, nil
}

// keepEnd keeps the end of the source and returns its temporary errors.
func (r *chunkedReader) keepEnd(err error) error {
	if err != io.EOF {
		return err
	}
	r.end = io.ErrUnexpectedEOF
	return nil
}

// endLine handles a complete line.
func (r *chunkedReader) endLine(line []byte) {
	switch r.state {
	case chunkSizeLine:
		r.beginChunk(line)
	case chunkDataEnd:
		if len(line) > 0 {
			r.end = errMalformedChunk
		}
		r.state = chunkSizeLine
	case chunkTrailer:
		r.trailerBytes += len(line)
		switch {
		case len(line) == 0:
			r.end = io.EOF
		case r.trailerBytes > maxTrailerBytes:
			r.end = errTrailerTooLong
		}
	}
}

// beginChunk handles the line before a chunk.
func (r *chunkedReader) beginChunk(line []byte) {
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) > maxChunkSizeDigits {
		r.end = errMalformedChunk
		return
	}
	remaining, err := strconv.ParseUint(string(size), 16, 64)
	if err != nil {
		r.end = errMalformedChunk
		return
	}
	r.remaining, r.state = remaining, chunkData
	if remaining == 0 {
		r.state = chunkTrailer
	}
}
