// Package transport carries the messages: the HTTP server for users and
// workers, the HTTP clients of the outside services, and the JSON lines between
// controllers.
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

// Asker hands a request to the owner and waits for its answer.
type Asker interface {
	Ask(r coordination.Request, patience time.Duration) coordination.Reply
	// Trace lists the steps of a job that this node keeps.
	Trace(job string) []tracing.Step
}

// ServerOptions bound a server.
type ServerOptions struct {
	Connections int
	Idle        time.Duration
	Patience    time.Duration // how long an answer of the owner is waited for
}

// Server serves users, workers, the load balancer and operators.
type Server struct {
	app *fiber.App
	ask Asker
	opt ServerOptions
}

// NewServer makes a server.
func NewServer(ask Asker, opt ServerOptions) *Server {
	s := &Server{ask: ask, opt: opt}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		// Room above the limit, so that a body somewhat too large is read and
		// answered rather than reset.
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

// turnsShare is the part of the connections, one in so many, that is kept free by closing
// workers' connections after each answer. Where no other controller has room, more workers
// than there are connections are served in turns: none waits in silence.
const turnsShare = 8

// Load tells how many connections are open, of how many.
func (s *Server) Load() coordination.ServerLoad {
	return coordination.ServerLoad{Open: int(s.app.Server().GetOpenConnectionsCount()), Limit: s.opt.Connections}
}

// takeTurns closes a worker's connection after its answer if few are left.
func (s *Server) takeTurns(c *fiber.Ctx) {
	if load := s.Load(); load.Open > load.Limit-max(1, load.Limit/turnsShare) {
		c.Context().SetConnectionClose()
	}
}

// spareShare is the part of the connections, one in so many, that are taken for one
// question about the node's health only.
const spareShare = 32

// admit turns away the first request of a connection that is one too many, and says
// when to come back. Connections that are served go on, and the load balancer hears
// that the node is well: cut off by a full server, it would reset all of them.
func (s *Server) admit(c *fiber.Ctx) error {
	load := s.Load()
	if c.Context().ConnRequestNum() > 1 || c.Path() == "/healthz" || load.Open <= load.Limit-max(1, load.Limit/spareShare) {
		return c.Next()
	}
	c.Context().SetConnectionClose()
	c.Set(fiber.HeaderRetryAfter, "1")
	return fail(c, fiber.StatusServiceUnavailable, "too many connections")
}

// Serve answers the listener's connections until it fails.
func (s *Server) Serve(ln net.Listener) error { return s.app.Listener(ln) }

type failure struct {
	Error string `json:"error"`
}

func fail(c *fiber.Ctx, status int, why string) error {
	raw, err := json.Marshal(failure{why})
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Status(status).Send(raw)
}

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

// body copies the request's body, as the server reuses its buffers.
func body(c *fiber.Ctx) []byte { return append([]byte(nil), c.Body()...) }

func (s *Server) submit(c *fiber.Ctx) error {
	job, err := protocol.ParseJob(body(c))
	if err != nil {
		return fail(c, fiber.StatusBadRequest, err.Error())
	}
	return s.answer(c, coordination.Request{Kind: protocol.RequestSubmit, ID: job.UID, Job: job})
}

func (s *Server) query(c *fiber.Ctx) error {
	return s.answer(c, coordination.Request{Kind: protocol.RequestQuery, ID: param(c)})
}

func (s *Server) cancel(c *fiber.Ctx) error {
	return s.answer(c, coordination.Request{Kind: protocol.RequestCancel, ID: param(c)})
}

func param(c *fiber.Ctx) string { return string(append([]byte(nil), c.Params("id")...)) }

func (s *Server) report(c *fiber.Ctx) error {
	rep, err := protocol.ParseReport(body(c))
	if err != nil {
		return fail(c, fiber.StatusBadRequest, err.Error())
	}
	s.takeTurns(c)
	return s.answer(c, coordination.Request{Kind: protocol.RequestReport, Report: rep})
}

func (s *Server) plain(kind protocol.RequestKind) fiber.Handler {
	return func(c *fiber.Ctx) error { return s.answer(c, coordination.Request{Kind: kind}) }
}

func (s *Server) metrics(c *fiber.Ctx) error {
	reply := s.ask.Ask(coordination.Request{Kind: protocol.RequestMetrics}, s.opt.Patience)
	c.Set(fiber.HeaderContentType, "text/plain; version=0.0.4")
	return c.Status(reply.Status).Send(reply.Body)
}

func (s *Server) admissionOf(c *fiber.Ctx) error {
	return s.answer(c, coordination.Request{Kind: protocol.RequestAdmission, ID: param(c)})
}

func (s *Server) trace(c *fiber.Ctx) error {
	raw, err := json.Marshal(s.ask.Trace(param(c)))
	if err != nil {
		return err
	}
	c.Set(fiber.HeaderContentType, fiber.MIMEApplicationJSON)
	return c.Send(raw)
}
