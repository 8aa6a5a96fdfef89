package soak

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// While a proxy finds out which connections to cut off, it forwards on the others. It did
// not, and requests reached endpoints seconds after their hosts had sent them.
func TestCutOffHoldsUpNoOtherConnection(t *testing.T) {
	proxy := newEchoProxy(t)
	conn := dial(t, proxy)
	_, err := conn.Write([]byte("a"))
	assert.NilError(t, err)
	assert.Assert(t, isEchoed(t, conn, time.Second))
	checking, checked := make(chan struct{}), make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		proxy.CutOff(func(int, time.Time) bool {
			close(checking)
			<-checked
			return false
		})
	}()
	<-checking
	_, err = conn.Write([]byte("b"))
	assert.NilError(t, err)
	assert.Assert(t, isEchoed(t, conn, time.Second))
	close(checked)
	<-done
}

// The ports of a process are read again only for connections that are younger than the
// last reading.
func TestPortTableIsReadOncePerMoment(t *testing.T) {
	reads := 0
	table := portTable{read: func() map[int]bool {
		reads++
		return map[int]bool{reads: true}
	}}
	before := time.Now()
	assert.Assert(t, table.has(1, before))
	assert.Assert(t, !table.has(2, before))
	assert.Equal(t, reads, 1)
	assert.Assert(t, table.has(2, time.Now()))
	assert.Equal(t, reads, 2)
}
