// Package spoil breaks the headers of responses, for stand-ins of servers in trouble.
//
// # Usage
//
//	text, goesOn := spoil.ZeroStatus.Response(text)
//	_, err := conn.Write(text)
//	if !goesOn {
//		conn.Close()
//	}
package spoil

import (
	"bytes"

	"github.com/valyala/fasthttp"
)

// Kind is a way to break a response. "" leaves it whole.
type Kind string

// The kinds.
const (
	// ZeroStatus replaces the status by 000.
	ZeroStatus Kind = "ZeroStatus"
	// BlankInName and ControlInName add a field with a blank or a control byte in its name.
	BlankInName   Kind = "BlankInName"
	ControlInName Kind = "ControlInName"
	// FoldedLine adds a folded line.
	FoldedLine Kind = "FoldedLine"
	// CutHeader ends the connection in the middle of the header.
	CutHeader Kind = "CutHeader"
)

// Kinds lists all kinds.
var Kinds = []Kind{ZeroStatus, BlankInName, ControlInName, FoldedLine, CutHeader}

// Field is the name of a field that all broken responses have, so that a test sees which of
// them were forwarded.
const Field = "Spoiled"

var firstLineEnd = []byte("\r\n")

var added = map[Kind]string{
	ZeroStatus:    "",
	BlankInName:   "X Note: odd\r\n",
	ControlInName: "X\x01Note: odd\r\n",
	FoldedLine:    "X-Note: odd\r\n folded\r\n",
	CutHeader:     "X-Note: cut",
}

const statusAt = len("HTTP/1.1 ")

// Response returns a broken copy of the begin of a response, which has its status line at
// least. It returns false if the connection ends behind that.
func (k Kind) Response(text []byte) ([]byte, bool) {
	if k == "" {
		return text, true
	}
	line, rest, _ := bytes.Cut(text, firstLineEnd)
	broken := append(bytes.Clone(line), "\r\n"+Field+": "+string(k)+"\r\n"+added[k]...)
	if k == ZeroStatus {
		copy(broken[statusAt:], "000")
	}
	if k == CutHeader {
		return broken, false
	}
	return append(broken, rest...), true
}

// Handler returns a handler whose responses are broken in the way that kind returns. Each
// broken response ends its connection.
func Handler(next fasthttp.RequestHandler, kind func() Kind) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		next(ctx)
		k := kind()
		if k == "" {
			return
		}
		var text bytes.Buffer
		_, _ = ctx.Response.WriteTo(&text) // a buffer takes all of it
		broken, _ := k.Response(text.Bytes())
		_, _ = ctx.Conn().Write(broken)
		_ = ctx.Conn().Close()
	}
}
