package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/http/httputil"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// pieceReader returns pieces one after another, and a timeout before each.
type pieceReader struct {
	pieces [][]byte
	isLate bool
}

func (r *pieceReader) Read(buffer []byte) (int, error) {
	if r.isLate = !r.isLate; r.isLate {
		return 0, os.ErrDeadlineExceeded
	}
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, r.pieces[0])
	r.pieces[0] = r.pieces[0][n:]
	if len(r.pieces[0]) == 0 {
		r.pieces = r.pieces[1:]
	}
	return n, nil
}

// readChunked reads a body that arrives in pieces, each after a timeout.
func readChunked(pieces [][]byte) ([]byte, error) {
	reader := newChunkedReader(bufio.NewReaderSize(&pieceReader{pieces: pieces}, 16))
	var got []byte
	buffer := make([]byte, 7)
	for {
		n, err := reader.Read(buffer)
		got = append(got, buffer[:n]...)
		if n > 0 && errors.Is(err, os.ErrDeadlineExceeded) {
			return got, errors.New("waited with data at hand")
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			return got, err
		}
	}
}

// split splits data into pieces of the given sizes, again and again.
func split(data, sizes []byte) [][]byte {
	var pieces [][]byte
	for i := 0; len(data) > 0; i++ {
		n := len(data)
		if len(sizes) > 0 {
			n = min(n, 1+int(sizes[i%len(sizes)]))
		}
		pieces = append(pieces, data[:n])
		data = data[n:]
	}
	return pieces
}

// What has arrived of a chunk is returned before the rest arrives, and reading goes on
// after a timeout.
func TestChunkedReaderReturnsWhatHasArrived(t *testing.T) {
	source := &pieceReader{pieces: [][]byte{[]byte("a\r\n012"), []byte("34"), []byte("56789\r"), []byte("\n0\r\n"), []byte("X: y\r\n\r\n")}}
	reader := newChunkedReader(bufio.NewReader(source))
	buffer := make([]byte, 100)
	var reads []string
	for {
		n, err := reader.Read(buffer)
		if n > 0 {
			reads = append(reads, string(buffer[:n]))
		}
		if errors.Is(err, io.EOF) {
			break
		}
		assert.Assert(t, err == nil || errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	}
	assert.DeepEqual(t, reads, []string{"012", "34", "56789"})
	_, err := reader.Read(buffer)
	assert.Equal(t, err, io.EOF)
}

func TestChunkedReaderRejects(t *testing.T) {
	for name, body := range map[string]string{
		"no size":              "\r\nabc\r\n0\r\n\r\n",
		"no hexadecimal size":  "x\r\nabc\r\n0\r\n\r\n",
		"negative size":        "-3\r\nabc\r\n0\r\n\r\n",
		"size too long":        "00000000000000003\r\nabc\r\n0\r\n\r\n",
		"bare line feed":       "3\nabc\n0\n\n",
		"data longer":          "3\r\nabcd\r\n0\r\n\r\n",
		"line too long":        "3;" + string(bytes.Repeat([]byte("x"), maxChunkLineBytes)) + "\r\nabc\r\n0\r\n\r\n",
		"trailer too long":     "0\r\n" + string(bytes.Repeat([]byte("a: b\r\n"), maxTrailerBytes/4+1)) + "\r\n",
		"end in the size":      "3",
		"end in the data":      "3\r\nab",
		"end behind the data":  "3\r\nabc",
		"end before the end":   "3\r\nabc\r\n",
		"end in the last line": "3\r\nabc\r\n0\r\n",
	} {
		_, err := readChunked(split([]byte(body), nil))
		assert.Assert(t, err != nil && err != io.EOF, name)
	}
}

// The reader accepts what net/http accepts, with the same result, however the body is
// split and whatever comes late.
func FuzzChunkedReader(f *testing.F) {
	f.Add([]byte("5\r\nhello\r\nA;x=y\r\n0123456789\r\n0\r\nX: y\r\n\r\n"), []byte{2, 0, 9})
	f.Add([]byte("5 \r\nhello\r\n0\r\n\r\n"), []byte{})
	f.Add([]byte("5\r\nhel"), []byte{0})
	f.Fuzz(func(t *testing.T, body, sizes []byte) {
		got, err := readChunked(split(body, sizes))
		assert.Assert(t, err != nil)
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(bytes.NewReader(body)))
		response, headErr := http.ReadResponse(bufio.NewReader(io.MultiReader(bytes.NewReader([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")), bytes.NewReader(body))), nil)
		assert.NilError(t, headErr)
		whole, wholeErr := io.ReadAll(response.Body)
		if wholeErr == nil {
			assert.Equal(t, err, io.EOF)
			assert.Equal(t, string(got), string(whole))
		}
		if wantErr != nil {
			assert.Assert(t, err != io.EOF)
			assert.Assert(t, bytes.HasPrefix(want, got) || bytes.HasPrefix(got, want))
		}
	})
}
