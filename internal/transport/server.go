// Package transport implements the network interfaces of a controller: the HTTP server for users,
// workers and operators, the HTTP clients of the outside services, and the connections between
// controllers. It makes no decisions about jobs or machines.
package transport

import (
	"cmp"
	"context"
	"errors"
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/valyala/fasthttp"

	"hitchdoor/internal/controller"
	"hitchdoor/internal/json"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/rejection"
	"hitchdoor/internal/tracing"
)

// RequestHandler passes requests to the goroutine that owns the controller's state.
type RequestHandler interface {
	// Handle passes on a request and waits for the reply. If the timeout expires or the context is
	// cancelled first, it returns a reply with status 503.
	Handle(ctx context.Context, request controller.Request, timeout time.Duration) controller.Reply
	// Trace returns the trace steps of a job that this node has recorded.
	Trace(job string) []tracing.Step
}

// ServerOptions are the limits of a Server.
type ServerOptions struct {
	MaxConnections int
	IdleTimeout    time.Duration // how long a connection may be idle, or reading a request may take
	RequestTimeout time.Duration // how long to wait for the handler's reply
	// Rejections counts the requests that the server rejects itself. Nil means that nothing reads them.
	Rejections *rejection.Counters
}

// Server is the HTTP server for users, workers, the load balancer and operators.
type Server struct {
	app         *fiber.App
	handler     RequestHandler
	options     ServerOptions
	connections *connectionSet
	// requestContext is the context of all requests. Serve cancels it after it has closed the
	// connections.
	requestContext context.Context
	cancelRequests context.CancelFunc
}

// NewServer returns a server that passes requests to a handler.
func NewServer(handler RequestHandler, options ServerOptions) *Server {
	options.Rejections = cmp.Or(options.Rejections, rejection.NewCounters())
	requestContext, cancelRequests := context.WithCancel(context.Background())
	server := &Server{handler: handler, options: options, connections: newConnectionSet(),
		requestContext: requestContext, cancelRequests: cancelRequests}
	server.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// The limit is above the protocol's limit, so that a client which sends a body slightly too
		// large gets a response rather than a connection reset.
		BodyLimit:          8 * protocol.MaxBodyBytes,
		Concurrency:        options.MaxConnections,
		IdleTimeout:        options.IdleTimeout,
		ReadTimeout:        options.IdleTimeout,
		ReadBufferSize:     4 << 10,
		WriteBufferSize:    4 << 10,
		DisableDefaultDate: true,
		ErrorHandler:       handleError,
	})
	server.app.Server().ConnState = server.trackConnection
	server.registerRoutes()
	return server
}

// handleError sends the response to a request that was rejected before it reached a handler, or whose
// handler returned an error. A body that is too large is reported as status 400.
func handleError(c *fiber.Ctx, err error) error {
	code := fiber.StatusInternalServerError
	var fiberError *fiber.Error
	if errors.As(err, &fiberError) {
		code = fiberError.Code
	}
	if code == fiber.StatusRequestEntityTooLarge {
		code = fiber.StatusBadRequest
	}
	return sendError(c, code, err.Error())
}

// Paths of the requests of users, workers and the load balancer.
const (
	jobsPath      = "/work"
	heartbeatPath = "/v1/report"
	healthPath    = "/healthz"
)

// registerRoutes registers the handlers of all paths. Every request passes through admitConnection
// first.
func (s *Server) registerRoutes() {
	s.app.Use(s.admitConnection)
	s.app.Post(jobsPath, s.submitJob)
	s.app.Get(jobsPath+"/:id", s.queryJob)
	s.app.Post(jobsPath+"/:id/cancel", s.cancelJob)
	s.app.Post(heartbeatPath, s.acceptHeartbeat)
	s.app.Get(healthPath, s.handlerForKind(protocol.RequestHealth))
	s.app.Get("/status", s.handlerForKind(protocol.RequestStatus))
	s.app.Get("/metrics", s.serveMetrics)
	s.app.Get("/admission", s.handlerForKind(protocol.RequestAdmission))
	s.app.Get("/admission/:id", s.explainAdmission)
	s.app.Get("/links", s.handlerForKind(protocol.RequestLinks))
	s.app.Get("/recovery", s.handlerForKind(protocol.RequestRecovery))
	s.app.Get("/trace/:id", s.serveTrace)
}

// trackConnection is called at each state change of a connection. It adds new connections to the set
// and removes those that are closed or hijacked.
func (s *Server) trackConnection(conn net.Conn, state fasthttp.ConnState) {
	switch state {
	case fasthttp.StateNew:
		s.connections.add(conn)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		s.connections.remove(conn)
	}
}

// workerReserveDivisor sets the reserve of connections: if fewer than 1/workerReserveDivisor of them
// are free, the server closes workers' connections after each response. The workers then take turns,
// so that more workers than connections are served when no other controller has spare connections.
const workerReserveDivisor = 8

// ConnectionLoad returns the number of open connections and the maximum number.
func (s *Server) ConnectionLoad() controller.ServerLoad {
	return controller.ServerLoad{Open: int(s.app.Server().GetOpenConnectionsCount()), Limit: s.options.MaxConnections}
}

// rotateWorkerConnection closes a worker's connection after the response if few connections are free.
func (s *Server) rotateWorkerConnection(c *fiber.Ctx) {
	if load := s.ConnectionLoad(); load.Open > load.Limit-max(1, load.Limit/workerReserveDivisor) {
		c.Context().SetConnectionClose()
	}
}

// healthReserveDivisor sets the share of connections (1/healthReserveDivisor) that is reserved for
// health checks.
const healthReserveDivisor = 32

// admitConnection rejects the first request of a connection with status 503 and Retry-After if only
// the connections reserved for health checks are left. Requests on established connections and health
// checks are always served: if the health checks failed, the load balancer would reset all of the
// node's connections.
func (s *Server) admitConnection(c *fiber.Ctx) error {
	load := s.ConnectionLoad()
	if c.Context().ConnRequestNum() > 1 || c.Path() == healthPath ||
		load.Open <= load.Limit-max(1, load.Limit/healthReserveDivisor) {
		return c.Next()
	}
	s.options.Rejections.Add(requestKind(c), rejection.ConnectionLimit)
	c.Context().SetConnectionClose()
	c.Set(fiber.HeaderRetryAfter, "1")
	return sendError(c, fiber.StatusServiceUnavailable, "too many connections")
}

// requestKind returns the kind of a request of a user or a worker by its method and path, for requests
// that are rejected before their route is known. Operators' requests count as queries.
func requestKind(c *fiber.Ctx) protocol.RequestKind {
	switch path := c.Path(); {
	case path == heartbeatPath:
		return protocol.RequestHeartbeat
	case c.Method() == fiber.MethodGet:
		return protocol.RequestQuery
	case path == jobsPath:
		return protocol.RequestSubmit
	default:
		return protocol.RequestCancel
	}
}

// Serve serves the listener's connections until the context is cancelled or the listener fails. It
// closes the listener and all connections, and returns when no request is being handled any more. It
// must be called at most once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	defer listener.Close()
	stopClosing := context.AfterFunc(ctx, func() { listener.Close() })
	defer stopClosing()
	err := s.app.Listener(listener)
	s.connections.close()
	// Requests are cancelled only after their connections are closed, so that no client receives the
	// reply of an interrupted handler.
	s.cancelRequests()
	s.connections.wait()
	return err
}

// errorBody is the JSON body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// sendError sends a response with the given status and a reason in the body.
func sendError(c *fiber.Ctx, status int, reason string) error {
	raw, err := json.Marshal(errorBody{reason})
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(raw)
}

// respond passes a request to the handler and sends its reply. A reply without a body is sent as an
// error response.
func (s *Server) respond(c *fiber.Ctx, request controller.Request) error {
	reply := s.handler.Handle(s.requestContext, request, s.options.RequestTimeout)
	if reply.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(reply.RetryAfter))
	}
	if len(reply.Body) == 0 {
		return sendError(c, reply.Status, "see the status")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(reply.Status).Send(reply.Body)
}

// copyBody copies the request's body, because the server reuses its buffers for later requests.
func copyBody(c *fiber.Ctx) []byte { return append([]byte(nil), c.Body()...) }

// submitJob serves POST /work.
func (s *Server) submitJob(c *fiber.Ctx) error {
	job, err := protocol.ParseJob(copyBody(c))
	if err != nil {
		return sendError(c, fiber.StatusBadRequest, err.Error())
	}
	return s.respond(c, controller.Request{Kind: protocol.RequestSubmit, JobID: job.ID, Job: job})
}

// queryJob serves GET /work/{id}.
func (s *Server) queryJob(c *fiber.Ctx) error {
	return s.respond(c, controller.Request{Kind: protocol.RequestQuery, JobID: jobIDParam(c)})
}

// cancelJob serves POST /work/{id}/cancel.
func (s *Server) cancelJob(c *fiber.Ctx) error {
	return s.respond(c, controller.Request{Kind: protocol.RequestCancel, JobID: jobIDParam(c)})
}

// jobIDParam copies the job ID from the path, because the server reuses its buffers for later requests.
func jobIDParam(c *fiber.Ctx) string { return string(append([]byte(nil), c.Params("id")...)) }

// acceptHeartbeat serves POST /v1/report.
func (s *Server) acceptHeartbeat(c *fiber.Ctx) error {
	heartbeat, err := protocol.ParseWorkerHeartbeat(copyBody(c))
	if err != nil {
		return sendError(c, fiber.StatusBadRequest, err.Error())
	}
	s.rotateWorkerConnection(c)
	return s.respond(c, controller.Request{Kind: protocol.RequestHeartbeat, Heartbeat: heartbeat})
}

// handlerForKind returns the handler of a kind of request that has no parameters.
func (s *Server) handlerForKind(kind protocol.RequestKind) fiber.Handler {
	return func(c *fiber.Ctx) error { return s.respond(c, controller.Request{Kind: kind}) }
}

// serveMetrics serves GET /metrics in the Prometheus text format.
func (s *Server) serveMetrics(c *fiber.Ctx) error {
	reply := s.handler.Handle(s.requestContext, controller.Request{Kind: protocol.RequestMetrics},
		s.options.RequestTimeout)
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Status(reply.Status).Send(reply.Body)
}

// explainAdmission serves GET /admission/{id}.
func (s *Server) explainAdmission(c *fiber.Ctx) error {
	return s.respond(c, controller.Request{Kind: protocol.RequestAdmission, JobID: jobIDParam(c)})
}

// serveTrace serves GET /trace/{id}.
func (s *Server) serveTrace(c *fiber.Ctx) error {
	raw, err := json.Marshal(s.handler.Trace(jobIDParam(c)))
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(raw)
}
