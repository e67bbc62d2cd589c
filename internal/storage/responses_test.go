package storage

import (
	"errors"
	"fmt"
	"testing"
)

// Guards against trusting a response that the key-value store can't have sent, such as a truncated
// body or a proxy's error page. Each invalid row was once accepted, or would be without the check for it.
func TestCheckResponse(t *testing.T) {
	const (
		job   = "/store/job/j-1"
		list  = "/store?under=job%2F&limit=200&since=job%2Fj-4"
		watch = "/follow?under=job%2F&since=7&waitMs=1"
	)
	for _, c := range []struct {
		method, path string
		status       int
		body         string
		valid        bool
	}{
		{"GET", job, 200, `{"path":"job/j-1","data":{"spec":{}},"versao":4}`, true},
		{"GET", job, 200, `{"path":"job/j-2","data":{"spec":{}},"versao":4}`, false},
		{"GET", job, 200, `{"path":"job/j-1","data":{"spec":{}}}`, false},
		{"GET", job, 200, `{"path":"job/j-1","versao":4}`, false},
		{"GET", job, 200, `{}`, false},
		{"GET", job, 200, `{"path":"job/j-1","data":{"sp`, false},
		{"GET", job, 404, `{"edicao":0}`, true},
		{"GET", job, 404, `{}`, false},
		{"GET", job, 404, ``, false},
		{"GET", job, 404, `<html>`, false},
		{"GET", job, 302, ``, false},
		{"GET", job, 403, ``, false},
		{"GET", job, 503, ``, true},
		{"GET", job, 429, ``, true},
		{"GET", job, 0, ``, true},
		{"GET", list, 200, `{"rows":[],"truncated":false,"edicao":9}`, true},
		{"GET", list, 200, `{"edicao":9}`, true},
		{"GET", list, 200, `{"rows":[],"truncated":false,"edicao":0}`, true}, // an empty store
		{"GET", list, 200, `{"rows":[{"path":"job/j-5","versao":1},{"path":"job/j-6","versao":2}],` +
			`"truncated":true,"edicao":9}`, true},
		{"GET", list, 200, `{}`, false},
		{"GET", list, 200, `null`, false},
		{"GET", list, 200, `{"rows":[],"truncated":true,"edicao":9}`, false},
		{"GET", list, 200, `{"rows":[{"path":"job/j-4","versao":1}],"edicao":9}`, false},
		{"GET", list, 200, `{"rows":[{"path":"job/j-6","versao":1},{"path":"job/j-5","versao":1}],"edicao":9}`, false},
		{"GET", list, 200, `{"rows":[{"path":"term","versao":1}],"edicao":9}`, false},
		{"GET", list, 200, `{"rows":[{"path":"job/j-5"}],"edicao":9}`, false},
		{"GET", watch, 200, `{"edicao":9,"log":[{"set":"job/j-1","data":{},"versao":8},` +
			`{"drop":"job/j-2","versao":9}]}`, true},
		{"GET", watch, 200, `{"edicao":9}`, true},
		{"GET", watch, 410, ``, true},
		{"GET", watch, 200, `{}`, false},
		{"GET", watch, 200, `{"edicao":9,"log":[{"set":"final/j-1","data":{},"versao":8}]}`, false},
		{"GET", watch, 200, `{"edicao":9,"log":[{"set":"job/j-1","data":{}}]}`, false},
		{"POST", "/multi", 200, `{"edicao":9}`, true},
		{"POST", "/multi", 200, `{}`, false},
		{"POST", "/multi", 200, `{"edicao":"9"}`, false},
		{"POST", "/multi", 409, `{"failed":["term"],"edicao":9}`, true},
		{"POST", "/multi", 409, `{}`, false},
		{"POST", "/multi", 400, ``, true},
		{"POST", "/holds", 200, `{"arrendo":7}`, true},
		{"POST", "/holds", 200, `{}`, false},
		{"POST", "/holds/7/touch", 200, ``, true},
		{"POST", "/holds/7/touch", 404, ``, true},
		{"POST", "/holds/7/touch", 301, ``, false},
		{"DELETE", "/holds/7", 200, ``, true},
	} {
		t.Run(fmt.Sprintf("%s %s %d %s", c.method, c.path, c.status, c.body), func(t *testing.T) {
			err := CheckResponse(c.method, c.path, c.status, []byte(c.body))
			var respErr *ResponseError
			if (err == nil) != c.valid || err != nil && (!errors.As(err, &respErr) || respErr.Status != c.status) {
				t.Errorf("%s %s: status %d, body %s: got error %v; response is valid: want %v",
					c.method, c.path, c.status, c.body, err, c.valid)
			}
		})
	}
}
