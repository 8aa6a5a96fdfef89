package mesh

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/coder/websocket"

	"mustarddoor/internal/process/identity"
)

// Reasons for rejections by the server itself.
const (
	reasonUnknownKind = "unknown kind"
	reasonBusy        = "too many calls in flight"
	reasonTooLarge    = "response too large"
	reasonEncoding    = "response cannot be encoded"
)

// Server accepts connections from other hosts and runs the registered handlers.
// It must be mounted at Path. It implements Router and http.Handler.
type Server struct {
	options  Options
	counters *counters
	handlers map[Kind]Handler
	baseCtx  context.Context
	stop     context.CancelFunc

	mutex    sync.Mutex
	sessions map[*session]struct{}
}

// NewServer returns a server without handlers.
func NewServer(options Options) *Server {
	base, stop := context.WithCancel(context.Background())
	return &Server{
		options:  options.withDefaults(),
		counters: newCounters(options.Metrics),
		handlers: map[Kind]Handler{},
		baseCtx:  base,
		stop:     stop,
		sessions: map[*session]struct{}{},
	}
}

// Handle implements Router. All handlers must be registered before the first
// connection is accepted.
func (s *Server) Handle(kind Kind, handler Handler) {
	if s.handlers[kind] != nil {
		panic("duplicate mesh handler for " + string(kind))
	}
	s.handlers[kind] = handler
}

// ServeHTTP accepts one connection and serves it until it ends.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	socket, err := websocket.Accept(w, r, &websocket.AcceptOptions{CompressionMode: websocket.CompressionDisabled})
	if err != nil {
		return
	}
	conn := newFrameConn(socket, s.options, s.counters)
	defer conn.close()
	if !s.handshake(conn) {
		return
	}
	ctx, cancel := context.WithCancel(s.baseCtx)
	defer cancel()
	session := &session{
		conn:   conn,
		server: s,
		ctx:    ctx,
		slots:  make(chan struct{}, s.options.MaxInFlight),
	}
	if !s.addSession(session) {
		return
	}
	defer s.removeSession(session)
	go conn.writeLoop()
	conn.readLoop(session.receive)
}

// Close closes all connections and cancels the contexts of running handlers.
func (s *Server) Close() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.stop()
	for session := range s.sessions {
		session.conn.close()
	}
}

// handshake exchanges hellos. A peer whose frames the gate drops gets no hello.
func (s *Server) handshake(conn *frameConn) bool {
	ctx, cancel := context.WithTimeout(s.baseCtx, s.options.DialTimeout)
	defer cancel()
	if conn.receiveHello(ctx) != nil {
		return false
	}
	peer := conn.peer.MeshAddress
	if !s.options.Gate.Passes(peer, FromPeer) || !s.options.Gate.Passes(peer, ToPeer) {
		<-ctx.Done()
		return false
	}
	return conn.sendHello(ctx) == nil
}

func (s *Server) addSession(session *session) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.baseCtx.Err() != nil {
		return false
	}
	s.sessions[session] = struct{}{}
	s.counters.sessions.Inc(1)
	return true
}

func (s *Server) removeSession(session *session) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.sessions, session)
	s.counters.sessions.Dec(1)
}

// session is the server side of one connection.
type session struct {
	conn   *frameConn
	server *Server
	ctx    context.Context
	// slots bounds the concurrent calls of the connection.
	slots chan struct{}
}

// receive starts the handler of a call. It ignores frames of other types, so
// that later releases can add types.
func (s *session) receive(f frame) {
	if f.Type != frameCall {
		return
	}
	handler := s.server.handlers[f.Kind]
	if handler == nil {
		s.reject(f, reasonUnknownKind+" "+string(f.Kind))
		return
	}
	select {
	case s.slots <- struct{}{}:
		go s.handleCall(handler, f)
	default:
		s.reject(f, reasonBusy)
	}
}

func (s *session) handleCall(handler Handler, call frame) {
	defer func() { <-s.slots }()
	timeout := s.server.options.CallTimeout
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

func (s *session) peer() identity.Incarnation { return s.conn.peer.Incarnation }

func (s *session) reply(call frame, result any) {
	body, err := wireCodec.Marshal(result)
	if err != nil {
		s.reject(call, reasonEncoding)
		return
	}
	if len(body) > s.server.options.MaxMessageBytes {
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
	case s.conn.queue <- &outgoingFrame{frame: f}:
	case <-s.conn.done:
	}
}
