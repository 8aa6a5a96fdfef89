package soak

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// localPorts returns the local ports of a process's IPv4 TCP sockets.
func localPorts(pid int) (map[int]bool, error) {
	descriptors, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return nil, eris.Wrap(err, "descriptors")
	}
	inodes := map[string]bool{}
	for _, descriptor := range descriptors {
		// A descriptor that was closed meanwhile has no target.
		target, _ := os.Readlink(descriptor)
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return nil, eris.Wrap(err, "sockets")
	}
	defer table.Close()
	const localAddress, inode = 1, 9 // columns
	ports := map[int]bool{}
	for lines := bufio.NewScanner(table); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inode || !inodes[fields[inode]] {
			continue
		}
		_, hex, _ := strings.Cut(fields[localAddress], ":")
		if port, err := strconv.ParseUint(hex, 16, 16); err == nil {
			ports[int(port)] = true
		}
	}
	return ports, nil
}

// portTable holds the ports of a process. Reading them takes long on a machine with many
// connections.
type portTable struct {
	read func() map[int]bool

	mu     sync.Mutex
	ports  map[int]bool
	readAt time.Time
}

// has reports whether a port of a connection that existed at a time is in the table,
// which is read again only if it is older.
func (t *portTable) has(port int, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.readAt.Before(at) {
		t.readAt = time.Now()
		t.ports = t.read()
	}
	return t.ports[port]
}
