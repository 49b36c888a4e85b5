package cloud

import (
	"bufio"
	"bytes"
	"crypto/md5"
	"encoding/hex"
	"encoding/xml"
	"io"
	"strconv"
	"strings"

	"github.com/valyala/fasthttp"
)

type object struct {
	body []byte
	tag  string
}

type objectFailure struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

func failObject(ctx *fasthttp.RequestCtx, status int, code string) {
	text, err := xml.Marshal(objectFailure{Code: code, Message: code})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/xml")
	ctx.SetBody(text)
}

var objectCalls = map[string]func(c *Cloud, ctx *fasthttp.RequestCtx, path string){
	"PUT":    (*Cloud).putObject,
	"GET":    (*Cloud).getObject,
	"HEAD":   (*Cloud).getObject,
	"DELETE": (*Cloud).deleteObject,
}

// object answers a path-style call: /bucket/key. A PUT of a bucket itself
// creates it, which is no work here.
func (c *Cloud) object(ctx *fasthttp.RequestCtx) {
	call, ok := objectCalls[string(ctx.Method())]
	if !ok {
		failObject(ctx, fasthttp.StatusMethodNotAllowed, "MethodNotAllowed")
		return
	}
	write := ctx.IsPut() || ctx.IsDelete()
	slowDown := func() { failObject(ctx, fasthttp.StatusServiceUnavailable, "SlowDown") }
	if !c.enter(ctx, write, slowDown) {
		return
	}
	call(c, ctx, string(ctx.Path()))
	if write {
		c.leave(ctx)
	}
}

func (c *Cloud) putObject(ctx *fasthttp.RequestCtx, path string) {
	body := bytes.Clone(ctx.PostBody())
	if strings.Contains(string(ctx.Request.Header.Peek("Content-Encoding")), "aws-chunked") {
		plain, err := unchunk(body)
		if err != nil {
			failObject(ctx, fasthttp.StatusBadRequest, "IncompleteBody")
			return
		}
		body = plain
	}
	sum := md5.Sum(body)
	tag := `"` + hex.EncodeToString(sum[:]) + `"`
	c.mu.Lock()
	c.counts.ObjectWrites++
	c.objects[path] = object{body: body, tag: tag}
	c.mu.Unlock()
	ctx.Response.Header.Set("ETag", tag)
}

func (c *Cloud) getObject(ctx *fasthttp.RequestCtx, path string) {
	c.mu.Lock()
	c.counts.ObjectReads++
	o, ok := c.objects[path]
	c.mu.Unlock()
	if !ok {
		failObject(ctx, fasthttp.StatusNotFound, "NoSuchKey")
		return
	}
	ctx.Response.Header.Set("ETag", o.tag)
	ctx.SetContentType("application/octet-stream")
	ctx.SetBody(o.body)
}

func (c *Cloud) deleteObject(ctx *fasthttp.RequestCtx, path string) {
	c.mu.Lock()
	c.counts.ObjectWrites++
	delete(c.objects, path)
	c.mu.Unlock()
	ctx.SetStatusCode(fasthttp.StatusNoContent)
}

// unchunk decodes the aws-chunked encoding: each chunk is its length in
// hexadecimal with optional parameters, its bytes, and a line end.
func unchunk(body []byte) ([]byte, error) {
	r := bufio.NewReader(bytes.NewReader(body))
	var plain []byte
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return nil, err
		}
		size, _, _ := strings.Cut(strings.TrimSpace(line), ";")
		n, err := strconv.ParseUint(size, 16, 31)
		if err != nil {
			return nil, err
		}
		if n == 0 {
			return plain, nil
		}
		chunk := make([]byte, n+2)
		if _, err := io.ReadFull(r, chunk); err != nil {
			return nil, err
		}
		plain = append(plain, chunk[:n]...)
	}
}
