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

// object is a stored object with its ETag.
type object struct {
	body []byte
	etag string
}

// objectFailure is the XML body of an S3 error.
type objectFailure struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

// writeObjectError writes an S3 error with the code as its message.
func writeObjectError(ctx *fasthttp.RequestCtx, status int, code string) {
	text, err := xml.Marshal(objectFailure{Code: code, Message: code})
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/xml")
	ctx.SetBody(text)
}

var objectOperations = map[string]func(c *Cloud, ctx *fasthttp.RequestCtx, path string){
	"PUT":    (*Cloud).putObject,
	"GET":    (*Cloud).getObject,
	"HEAD":   (*Cloud).getObject,
	"DELETE": (*Cloud).deleteObject,
}

// serveObject serves a path-style call, /bucket/key. Buckets need no creation: a
// PUT of /bucket is stored like an object.
func (c *Cloud) serveObject(ctx *fasthttp.RequestCtx) {
	operation, ok := objectOperations[string(ctx.Method())]
	if !ok {
		writeObjectError(ctx, fasthttp.StatusMethodNotAllowed, "MethodNotAllowed")
		return
	}
	write := ctx.IsPut() || ctx.IsDelete()
	writeThrottled := func() {
		writeObjectError(ctx, fasthttp.StatusServiceUnavailable, "SlowDown")
	}
	if !c.beforeCall(ctx, write, writeThrottled) {
		return
	}
	operation(c, ctx, string(ctx.Path()))
	if write {
		c.afterWrite(ctx)
	}
}

func (c *Cloud) putObject(ctx *fasthttp.RequestCtx, path string) {
	body := bytes.Clone(ctx.PostBody())
	if strings.Contains(string(ctx.Request.Header.Peek("Content-Encoding")), "aws-chunked") {
		decoded, err := decodeChunked(body)
		if err != nil {
			writeObjectError(ctx, fasthttp.StatusBadRequest, "IncompleteBody")
			return
		}
		body = decoded
	}
	sum := md5.Sum(body)
	etag := `"` + hex.EncodeToString(sum[:]) + `"`
	c.mu.Lock()
	c.counts.ObjectWrites++
	c.objects[path] = object{body: body, etag: etag}
	c.mu.Unlock()
	ctx.Response.Header.Set("ETag", etag)
}

func (c *Cloud) getObject(ctx *fasthttp.RequestCtx, path string) {
	c.mu.Lock()
	c.counts.ObjectReads++
	o, ok := c.objects[path]
	c.mu.Unlock()
	if !ok {
		writeObjectError(ctx, fasthttp.StatusNotFound, "NoSuchKey")
		return
	}
	ctx.Response.Header.Set("ETag", o.etag)
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

// decodeChunked decodes the aws-chunked encoding: each chunk is its length in
// hexadecimal with optional parameters, its bytes, and a line end.
func decodeChunked(body []byte) ([]byte, error) {
	r := bufio.NewReader(bytes.NewReader(body))
	var decoded []byte
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
			return decoded, nil
		}
		chunk := make([]byte, n+2)
		if _, err := io.ReadFull(r, chunk); err != nil {
			return nil, err
		}
		decoded = append(decoded, chunk[:n]...)
	}
}
