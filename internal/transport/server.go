// Package transport carries the messages of all interfaces: the HTTP server for users, workers and
// operators, the HTTP clients of the outside services, and the connections between controllers. It
// makes no decision about jobs or machines.
package transport

import (
	"net"
	"strconv"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/segmentio/encoding/json"

	"hitchdoor/internal/coordination"
	"hitchdoor/internal/protocol"
	"hitchdoor/internal/tracing"
)

// RequestHandler passes requests to the owner of the controller's state.
type Asker interface {
	// Handle waits for the reply to a request, up to a timeout.
	Ask(r coordination.Request, patience time.Duration) coordination.Reply
	// Trace returns the recorded steps of a job on this node.
	Trace(job string) []tracing.Step
}

// ServerOptions are the limits of a Server.
type ServerOptions struct {
	Connections int
	Idle        time.Duration
	Patience    time.Duration // how long to wait for the owner's reply
}

// Server is the HTTP server for users, workers, the load balancer and operators.
type Server struct {
	app *fiber.App
	ask Asker
	opt ServerOptions
}

// NewServer returns a server that passes requests to a handler.
func NewServer(ask Asker, opt ServerOptions) *Server {
	s := &Server{ask: ask, opt: opt}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Above the protocol's limit, so that a body slightly too large gets a response
		// rather than a connection reset.
		BodyLimit:          8 * protocol.MaxBody,
		Concurrency:        opt.Connections,
		IdleTimeout:        opt.Idle,
		ReadTimeout:        opt.Idle,
		ReadBufferSize:     4 << 10,
		WriteBufferSize:    4 << 10,
		DisableDefaultDate: true,
		ErrorHandler: func(c *fiber.Ctx, err error) error {
			code := fiber.StatusInternalServerError
			if e, ok := err.(*fiber.Error); ok {
				code = e.Code
			}
			if code == fiber.StatusRequestEntityTooLarge {
				code = fiber.StatusBadRequest
			}
			return fail(c, code, err.Error())
		},
	})
	s.app.Use(s.admit)
	s.app.Post("/work", s.submit)
	s.app.Get("/work/:id", s.query)
	s.app.Post("/work/:id/cancel", s.cancel)
	s.app.Post("/v1/report", s.report)
	s.app.Get("/healthz", s.plain(protocol.RequestHealth))
	s.app.Get("/status", s.plain(protocol.RequestStatus))
	s.app.Get("/metrics", s.metrics)
	s.app.Get("/admission", s.plain(protocol.RequestAdmission))
	s.app.Get("/admission/:id", s.admissionOf)
	s.app.Get("/links", s.plain(protocol.RequestLinks))
	s.app.Get("/recovery", s.plain(protocol.RequestRecovery))
	s.app.Get("/trace/:id", s.trace)
	return s
}

// workerReserveDivisor sets the share of connections (1/workerReserveDivisor) below which the server
// closes workers' connections after each response. So more workers than there are connections are
// served in turn when no other controller has spare connections.
const turnsShare = 8

// ConnectionLoad returns the number of open connections and their limit.
func (s *Server) Load() coordination.ServerLoad {
	return coordination.ServerLoad{Open: int(s.app.Server().GetOpenConnectionsCount()), Limit: s.opt.Connections}
}

// rotateWorkerConnection closes a worker's connection after its response if few connections are
// left.
func (s *Server) takeTurns(c *fiber.Ctx) {
	if load := s.Load(); load.Open > load.Limit-max(1, load.Limit/turnsShare) {
		c.Context().SetConnectionClose()
	}
}

// healthReserveDivisor sets the share of connections (1/healthReserveDivisor) that is reserved for
// health checks.
const spareShare = 32

// admitConnection rejects the first request of a connection above the limit, with Retry-After.
// Established connections and health checks are always served: if the health checks failed, the load
// balancer would reset all of the node's connections.
func (s *Server) admit(c *fiber.Ctx) error {
	load := s.Load()
	if c.Context().ConnRequestNum() > 1 || c.Path() == "/healthz" ||
		load.Open <= load.Limit-max(1, load.Limit/spareShare) {
		return c.Next()
	}
	c.Context().SetConnectionClose()
	c.Set(fiber.HeaderRetryAfter, "1")
	return fail(c, fiber.StatusServiceUnavailable, "too many connections")
}

// Serve serves the listener's connections until the listener fails.
func (s *Server) Serve(ln net.Listener) error { return s.app.Listener(ln) }

// errorBody is the body of an error response.
type failure struct {
	Error string `json:"error"`
}

// sendError sends an error response.
func fail(c *fiber.Ctx, status int, why string) error {
	raw, err := json.Marshal(failure{why})
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(raw)
}

// respond passes a request to the handler and sends its reply.
func (s *Server) answer(c *fiber.Ctx, r coordination.Request) error {
	reply := s.ask.Ask(r, s.opt.Patience)
	if reply.RetryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(reply.RetryAfter))
	}
	if len(reply.Body) == 0 {
		return fail(c, reply.Status, "see the status")
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(reply.Status).Send(reply.Body)
}

// copyBody copies the request's body, as the server reuses its buffers.
func body(c *fiber.Ctx) []byte { return append([]byte(nil), c.Body()...) }

// submitJob serves POST /work.
func (s *Server) submit(c *fiber.Ctx) error {
	job, err := protocol.ParseJob(body(c))
	if err != nil {
		return fail(c, fiber.StatusBadRequest, err.Error())
	}
	return s.answer(c, coordination.Request{Kind: protocol.RequestSubmit, ID: job.UID, Job: job})
}

// queryJob serves GET /work/{id}.
func (s *Server) query(c *fiber.Ctx) error {
	return s.answer(c, coordination.Request{Kind: protocol.RequestQuery, ID: param(c)})
}

// cancelJob serves POST /work/{id}/cancel.
func (s *Server) cancel(c *fiber.Ctx) error {
	return s.answer(c, coordination.Request{Kind: protocol.RequestCancel, ID: param(c)})
}

// jobIDParam copies the job id of the path, as the server reuses its buffers.
func param(c *fiber.Ctx) string { return string(append([]byte(nil), c.Params("id")...)) }

// acceptHeartbeat serves POST /v1/report.
func (s *Server) report(c *fiber.Ctx) error {
	rep, err := protocol.ParseReport(body(c))
	if err != nil {
		return fail(c, fiber.StatusBadRequest, err.Error())
	}
	s.takeTurns(c)
	return s.answer(c, coordination.Request{Kind: protocol.RequestReport, Report: rep})
}

// handleKind returns the handler of a request that has no parameters.
func (s *Server) plain(kind protocol.RequestKind) fiber.Handler {
	return func(c *fiber.Ctx) error { return s.answer(c, coordination.Request{Kind: kind}) }
}

// serveMetrics serves GET /metrics in the Prometheus text format.
func (s *Server) metrics(c *fiber.Ctx) error {
	reply := s.ask.Ask(coordination.Request{Kind: protocol.RequestMetrics}, s.opt.Patience)
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Status(reply.Status).Send(reply.Body)
}

// explainAdmission serves GET /admission/{id}.
func (s *Server) admissionOf(c *fiber.Ctx) error {
	return s.answer(c, coordination.Request{Kind: protocol.RequestAdmission, ID: param(c)})
}

// serveTrace serves GET /trace/{id}.
func (s *Server) trace(c *fiber.Ctx) error {
	raw, err := json.Marshal(s.ask.Trace(param(c)))
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(raw)
}
