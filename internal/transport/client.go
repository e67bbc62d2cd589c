package transport

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"hitchdoor/internal/controller"
)

// Client sends requests to one outside service over pooled connections.
type Client struct {
	http *fasthttp.HostClient
}

// ClientOptions are the limits of a Client. MaxResponseBytes bounds the body of a response.
type ClientOptions struct {
	MaxConnections   int
	DialTimeout      time.Duration
	IdleTimeout      time.Duration
	MaxResponseBytes int
}

// NewClient returns a client of the service at an address. The client never retries a call: only
// the caller knows whether that is safe.
func NewClient(address string, options ClientOptions) *Client {
	dialer := net.Dialer{Timeout: options.DialTimeout}
	return &Client{http: &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      options.MaxConnections,
		MaxIdleConnDuration:           options.IdleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		MaxResponseBodySize:           options.MaxResponseBytes,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		Dial:                          func(target string) (net.Conn, error) { return dialer.Dial("tcp4", target) },
	}}
}

// neverRetry disables the retries of the HTTP library.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Do executes a call. The status is 0 if there is no response.
func (c *Client) Do(call controller.ServiceCall) controller.CallResult {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	request.SetRequestURI("http://" + c.http.Addr + call.Path)
	request.Header.SetMethod(call.Method)
	if call.Body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(call.Body)
	}
	result := controller.CallResult{ID: call.ID}
	err := c.http.DoTimeout(request, response, call.Timeout)
	if err == nil {
		result.Status = response.StatusCode()
		result.Body = append([]byte(nil), response.Body()...)
	}
	fasthttp.ReleaseRequest(request)
	fasthttp.ReleaseResponse(response)
	return result
}
