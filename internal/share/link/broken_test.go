package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"siskinsaddle/internal/base/count"
)

// replyingPeer accepts connections as node "b" and answers each call with the bytes that
// reply returns for its frame.
func replyingPeer(c *qt.C, reply func(call frame) []byte) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	b := &Node{Name: "b", Secret: []byte(goodSecret), HandshakeTimeout: 1_000}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s := newStream(conn)
			if _, err := b.acceptHandshake(s); err == nil {
				var f frame
				for f.Type != frameCall && err == nil {
					f = frame{}
					_, err = readFrame(s.r, maxHandshakeBytes, &f)
				}
				_, _ = conn.Write(reply(f))
			}
			_ = conn.Close()
		}
	}()
	return listener.Addr().String()
}

// framed returns a value as one frame with bytes added behind it.
func framed(c *qt.C, value any, added ...byte) []byte {
	body, err := Encode(value)
	c.Assert(err, qt.IsNil)
	body = append(body, added...)
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

func TestBrokenReplyFailsTheCall(t *testing.T) {
	echoed, err := Encode([]string{"a", "hello"})
	qt.Assert(t, err, qt.IsNil)
	for _, test := range []struct {
		name     string
		whole    bool
		reported int64
		reply    func(c *qt.C, call frame) []byte
	}{
		{"a whole reply", true, 0, func(c *qt.C, call frame) []byte {
			return framed(c, &frame{Type: frameReply, ID: call.ID, Body: echoed})
		}},
		{"a reply of no known type", false, 1, func(c *qt.C, call frame) []byte {
			return framed(c, &frame{Type: "X", ID: call.ID, Body: echoed})
		}},
		{"a call instead of a reply", false, 1, func(c *qt.C, call frame) []byte {
			return framed(c, &frame{Type: frameCall, ID: call.ID, Body: echoed})
		}},
		{"bytes behind the value", false, 0, func(c *qt.C, call frame) []byte {
			return framed(c, &frame{Type: frameReply, ID: call.ID, Body: append(bytes.Clone(echoed), 1)})
		}},
		{"bytes behind the frame", false, 1, func(c *qt.C, call frame) []byte {
			return framed(c, &frame{Type: frameReply, ID: call.ID, Body: echoed}, 1)
		}},
		{"a value that is cut", false, 0, func(c *qt.C, call frame) []byte {
			return framed(c, &frame{Type: frameReply, ID: call.ID, Body: echoed[:len(echoed)-1]})
		}},
		{"a reply without a value", false, 0, func(c *qt.C, call frame) []byte {
			return framed(c, &frame{Type: frameReply, ID: call.ID})
		}},
		{"a frame that is cut", false, 0, func(c *qt.C, call frame) []byte {
			whole := framed(c, &frame{Type: frameReply, ID: call.ID, Body: echoed})
			return whole[:len(whole)-1]
		}},
		{"bytes that are no frame", false, 1, func(*qt.C, frame) []byte { return []byte("HTTP/1.1 200 OK\r\n\r\n") }},
		{"a frame that is no message", false, 1, func(*qt.C, frame) []byte { return []byte{0, 0, 0, 2, 0xc1, 0xc1} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			address := replyingPeer(c, func(call frame) []byte { return test.reply(c, call) })
			a := start(c, &Node{Name: "a", Secret: []byte(goodSecret), Address: resolveTo(&address)}, nil)
			ctx, cancel := context.WithTimeout(context.Background(), testWait)
			defer cancel()
			var got []string
			err := a.Call(ctx, "b", "Echo", "hello", &got)
			c.Assert(err == nil, qt.Equals, test.whole, qt.Commentf("%v, %q", err, got))
			c.Assert(ctx.Err(), qt.IsNil)
			broken := a.Counters.Count("siskinsaddle_link_broken_total", count.Label{Key: "peer", Value: "b"})
			c.Assert(broken, qt.Equals, test.reported)
		})
	}
}
