package transport

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"hitchdoor/internal/coordination"
)

// Client sends requests to one outside service over pooled connections.
type Client struct {
	http *fasthttp.HostClient
}

// ClientOptions are the limits of a Client. MaxResponseBytes bounds the body of a response.
type ClientOptions struct {
	Connections int
	Dial        time.Duration
	Idle        time.Duration
	MaxBody     int
}

// NewClient returns a client of the service at an address. The client never retries a call: only
// the caller knows whether that is safe.
func NewClient(addr string, opt ClientOptions) *Client {
	dialer := net.Dialer{Timeout: opt.Dial}
	return &Client{http: &fasthttp.HostClient{
		Addr:                          addr,
		MaxConns:                      opt.Connections,
		MaxIdleConnDuration:           opt.Idle,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		MaxResponseBodySize:           opt.MaxBody,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		Dial:                          func(a string) (net.Conn, error) { return dialer.Dial("tcp4", a) },
	}}
}

// neverRetry disables the retries of the HTTP library.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Do executes a call. The status is 0 if there is no response.
func (c *Client) Do(call coordination.Call) coordination.Result {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.SetRequestURI("http://" + c.http.Addr + call.Path)
	req.Header.SetMethod(call.Method)
	if call.Body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(call.Body)
	}
	out := coordination.Result{ID: call.ID}
	err := c.http.DoTimeout(req, resp, call.Timeout)
	if err == nil {
		out.Status = resp.StatusCode()
		out.Body = append([]byte(nil), resp.Body()...)
	}
	fasthttp.ReleaseRequest(req)
	fasthttp.ReleaseResponse(resp)
	return out
}
