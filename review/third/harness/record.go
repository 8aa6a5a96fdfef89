//go:build review

package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the record.txt of a case: a line for each event, with the seconds since the start.
type Record struct {
	startedAt time.Time
	mu        sync.Mutex
	file      *os.File
	writer    *bufio.Writer
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{startedAt: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// Add adds a line.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%8.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, values...))
}

// Say adds a line and prints it.
func (r *Record) Say(format string, values ...any) {
	r.Add(format, values...)
	fmt.Printf(format+"\n", values...)
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
