package admin_test

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/valyala/fasthttp"

	"siskinsaddle/internal/base/logs"
	"siskinsaddle/internal/serve/admin"
)

// GET /status with the secret returns the status. A missing or wrong secret gets
// 401, any other path or method 404.
func TestStatusRequiresSecret(t *testing.T) {
	c := qt.New(t)
	want := admin.Status{HostName: "host-1", Generation: 3, Kept: []string{"canvas-llm-1"}}
	s := &admin.Server{
		Address: "127.0.0.1:0",
		Secret:  "s3cret",
		Status:  func() admin.Status { return want },
		Log:     logs.Discard(),
	}
	c.Assert(s.Start(), qt.IsNil)
	c.Cleanup(s.Stop)
	for _, r := range []struct {
		method, path, authorization string
		code                        int
	}{
		{"GET", "/status", "", 401},
		{"GET", "/status", "Bearer s3cre", 401},
		{"GET", "/none", "Bearer s3cret", 404},
		{"POST", "/status", "Bearer s3cret", 404},
		{"GET", "/status", "Bearer s3cret", 200},
	} {
		request, answer := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.Header.SetMethod(r.method)
		request.SetRequestURI("http://" + s.ListenAddress() + r.path)
		request.Header.Set("Authorization", r.authorization)
		c.Assert(fasthttp.Do(request, answer), qt.IsNil)
		c.Assert(answer.StatusCode(), qt.Equals, r.code, qt.Commentf("%+v", r))
		var got admin.Status
		if r.code == 200 {
			c.Assert(json.Unmarshal(answer.Body(), &got), qt.IsNil)
			c.Assert(got, qt.DeepEquals, want)
		}
	}
}
