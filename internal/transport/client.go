package transport

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"hitchdoor/internal/controller"
)

// Client sends requests to one outside service over pooled connections. The caller must close it.
type Client struct {
	http        *fasthttp.HostClient
	connections *connectionSet
	stopDialing context.CancelFunc
}

// ClientOptions are the limits of a Client.
type ClientOptions struct {
	MaxConnections   int
	DialTimeout      time.Duration
	IdleTimeout      time.Duration // An unused connection is closed after this time.
	MaxResponseBytes int           // A call fails if the body of its response is larger.
}

// NewClient returns a client of the service at a host:port address. The client never retries a call,
// because only the caller knows whether a retry is safe.
func NewClient(address string, options ClientOptions) *Client {
	dialContext, stopDialing := context.WithCancel(context.Background())
	client := &Client{connections: newConnectionSet(), stopDialing: stopDialing}
	dialer := net.Dialer{Timeout: options.DialTimeout}
	client.http = &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      options.MaxConnections,
		MaxIdleConnDuration:           options.IdleTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    neverRetry,
		MaxResponseBodySize:           options.MaxResponseBytes,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		DisableHeaderNamesNormalizing: true,
		Dial: func(target string) (net.Conn, error) {
			conn, err := dialer.DialContext(dialContext, "tcp4", target)
			if err != nil {
				return nil, err
			}
			return newClientConnection(conn, client.connections), nil
		},
	}
	return client
}

// Close closes all connections. Calls in flight and later calls return status 0.
func (c *Client) Close() {
	c.stopDialing()
	c.connections.close()
	c.http.CloseIdleConnections()
}

// clientConnection is a connection that removes itself from the client's connectionSet when it is
// closed.
type clientConnection struct {
	net.Conn
	set *connectionSet
}

// newClientConnection adds a connection to a set and returns the wrapper that removes it again.
func newClientConnection(conn net.Conn, set *connectionSet) *clientConnection {
	set.add(conn)
	return &clientConnection{Conn: conn, set: set}
}

// Close removes the connection from its set and closes it.
func (c *clientConnection) Close() error {
	c.set.remove(c.Conn)
	return c.Conn.Close()
}

// neverRetry is a RetryIfErr callback that disables the retries of the HTTP library.
func neverRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) { return false, false }

// Do sends a call and waits up to its timeout for the response. The status of the result is 0 if no
// complete response within the size limit arrives.
func (c *Client) Do(call controller.ServiceCall) controller.CallResult {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + c.http.Addr + call.Path)
	request.Header.SetMethod(call.Method)
	if call.Body != nil {
		request.Header.SetContentType("application/json")
		request.SetBodyRaw(call.Body)
	}
	result := controller.CallResult{ID: call.ID}
	if err := c.http.DoTimeout(request, response, call.Timeout); err == nil {
		result.Status = response.StatusCode()
		result.Body = append([]byte(nil), response.Body()...)
	}
	return result
}
