// Package link sends messages between hosts: msgpack frames over TCP, between
// peers that authenticate each other with a shared secret.
//
// Each host has one outgoing connection to each peer that it sends to. It writes
// its sends and calls to that connection, and the reply to a call returns on the
// same connection. The first message opens the connection; IdleTimeout without a
// message closes it.
//
// A frame is a 4-byte big-endian length followed by a msgpack array. Message bodies
// are msgpack arrays of a struct's fields as well, so a field may be appended to a
// struct while hosts of two versions run side by side.
//
// Both ends prove knowledge of the secret by an HMAC over two fresh nonces, both
// names and both incarnations. The secret itself is never sent, and the listener
// sends its proof only after it has verified the dialer's. Frames after the
// handshake are not authenticated: the network between hosts is trusted not to
// modify data in transit.
//
// A connection can go silent permanently while new connections work. A written
// frame therefore needs an answer: after SilenceTimeout without any incoming frame,
// a ping is written, and after another SilenceTimeout the connection is dropped. Its
// pending calls fail with ErrBroken, and the next message opens a new connection.
// The package never resends a message: it may or may not have arrived, and only
// the sender knows whether it is safe to repeat.
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
