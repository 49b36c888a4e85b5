// Package link carries messages between the hosts of the system: frames of
// msgpack over TCP, between peers that know the same secret.
//
// Each host has one outgoing connection to each peer that it talks to. Sends
// and calls travel on the sender's own connection, and the reply to a call
// returns on the connection that the call came by. A connection is opened by
// the first message and closed after IdleWait without one.
//
// A frame is a length of four bytes, big endian, and a msgpack array. Bodies
// are msgpack arrays of a struct's fields as well, so a field may be added at
// the end of a struct while hosts of two versions run side by side.
//
// Both ends prove that they know the secret by an HMAC over two fresh nonces,
// the names and the incarnations; the secret itself is never sent, and the end
// that was dialled proves itself only after the dialling one has. Frames after
// the handshake carry no proof of their own: the network between hosts is
// trusted not to change bytes under way.
//
// A connection can go silent for good while new ones work. A frame that was
// written asks for a sign of life: after SilenceWait without any, a ping is
// written, and after another SilenceWait the connection is dropped. Calls that
// waited on it fail with ErrBroken, and the next message opens a fresh one.
// Nothing is resent here: a message may or may not have arrived, and only its
// sender knows whether it may be repeated.
//
// # Usage
//
//	n := &link.Node{
//		Name: "host-1", Incarnation: 7, Listen: "127.0.0.1:0", Secret: secret,
//		Clock: clock.System(), Log: logs.Discard(), Counters: count.NewSet(),
//		Address: func(name string) (string, bool) { ... },
//	}
//	n.Handle("Echo", func(ctx context.Context, from link.Peer, body []byte) (any, error) {
//		var text string
//		return &text, link.Decode(body, &text)
//	})
//	go n.Run(ctx)
//	err := n.Send("host-2", "Note", &note)                // queued, never blocks
//	err = n.Call(ctx, "host-2", "Echo", &text, &answer) // waits for the reply
package link
