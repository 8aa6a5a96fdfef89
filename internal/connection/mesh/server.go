package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"mustarddoor/internal/process/identity"
)

// Reasons of rejections that the server itself gives.
const (
	reasonUnknownKind = "unknown kind"
	reasonBusy        = "too many calls in flight"
	reasonTooLarge    = "response too large"
	reasonEncoding    = "response cannot be encoded"
)

// Server accepts connections of other hosts and runs the registered handlers.
// Mount it at Path. It implements Router and http.Handler.
type Server struct {
	options  Options
	counters *counters
	handlers map[Kind]Handler
	base     context.Context
	stop     context.CancelFunc

	mutex    sync.Mutex
	sessions map[*session]struct{}
}

// NewServer makes a server without handlers.
func NewServer(options Options) *Server {
	base, stop := context.WithCancel(context.Background())
	return &Server{
		options:  options.withDefaults(),
		counters: newCounters(options.Metrics),
		handlers: map[Kind]Handler{},
		base:     base,
		stop:     stop,
		sessions: map[*session]struct{}{},
	}
}

// Handle implements Router. All handlers must be registered before the first
// connection.
func (s *Server) Handle(kind Kind, handler Handler) {
	if s.handlers[kind] != nil {
		panic("second mesh handler for " + string(kind))
	}
	s.handlers[kind] = handler
}

// ServeHTTP serves one connection until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	pipe := newPipe(conn, s.options, s.counters)
	defer pipe.close()
	if !s.shakeHands(pipe) {
		return
	}
	ctx, cancel := context.WithCancel(s.base)
	defer cancel()
	session := &session{
		pipe:  pipe,
		serve: s,
		ctx:   ctx,
		slots: make(chan struct{}, s.options.MaxInFlight),
	}
	if !s.add(session) {
		return
	}
	defer s.remove(session)
	go pipe.write()
	pipe.read(session.receive)
}

// Close ends all connections. Handlers that run have their contexts canceled.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stop()
	for session := range s.sessions {
		session.pipe.close()
	}
}

// shakeHands exchanges hellos. Peers beyond a cut are left without an answer.
func (s *Server) shakeHands(pipe *pipe) bool {
	ctx, cancel := context.WithTimeout(s.base, s.options.DialTimeout)
	defer cancel()
	if pipe.meet(ctx) != nil {
		return false
	}
	peer := pipe.peer.MeshAddress
	if !s.options.Gate.Passes(peer, FromPeer) || !s.options.Gate.Passes(peer, ToPeer) {
		<-ctx.Done()
		return false
	}
	return pipe.greet(ctx) == nil
}

func (s *Server) add(session *session) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.base.Err() != nil {
		return false
	}
	s.sessions[session] = struct{}{}
	s.counters.sessions.Inc(1)
	return true
}

func (s *Server) remove(session *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, session)
	s.counters.sessions.Dec(1)
}

// session is the serving side of one connection.
type session struct {
	pipe  *pipe
	serve *Server
	ctx   context.Context
	// slots bounds the calls in flight.
	slots chan struct{}
}

// receive starts the handler of a call. Frames of other types are ignored, so
// that later releases may add some.
func (s *session) receive(f frame) {
	if f.Type != frameCall {
		return
	}
	handler := s.serve.handlers[f.Kind]
	if handler == nil {
		s.reject(f, reasonUnknownKind+" "+string(f.Kind))
		return
	}
	select {
	case s.slots <- struct{}{}:
		go s.run(handler, f)
	default:
		s.reject(f, reasonBusy)
	}
}

func (s *session) run(handler Handler, call frame) {
	defer func() { <-s.slots }()
	timeout := s.serve.options.CallTimeout
	if call.TimeoutMillis > 0 {
		timeout = time.Duration(call.TimeoutMillis) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	result, err := handler(ctx, s.peer(), call.Body)
	if err != nil {
		s.reject(call, err.Error())
		return
	}
	s.reply(call, result)
}

func (s *session) peer() identity.Incarnation { return s.pipe.peer.Incarnation }

func (s *session) reply(call frame, result any) {
	body, err := wire.Marshal(result)
	if err != nil {
		s.reject(call, reasonEncoding)
		return
	}
	if len(body) > s.serve.options.MaxMessageBytes {
		s.reject(call, reasonTooLarge)
		return
	}
	s.send(frame{Type: frameReply, ID: call.ID, Body: body})
}

func (s *session) reject(call frame, reason string) {
	s.send(frame{Type: frameReject, ID: call.ID, Text: reason})
}

func (s *session) send(f frame) {
	select {
	case s.pipe.queue <- &outgoing{frame: f}:
	case <-s.pipe.done:
	}
}
