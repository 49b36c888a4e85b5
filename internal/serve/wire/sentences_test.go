package wire

import "siskinsaddle/internal/fakes/hangup"

const (
	status200    = "HTTP/1.1 200 OK\r\n"
	length4      = "Content-Length: 4\r\n"
	chunkedField = "Transfer-Encoding: chunked\r\n"
	lastChunk    = "0\r\n\r\n"
)

// Malformed lists responses that break the grammar in one place each.
var Malformed = []struct {
	Name, Text string
}{
	{"status 000", "HTTP/1.1 000 OK\r\n" + length4 + "\r\ndone"},
	{"status 099", "HTTP/1.1 099 OK\r\n" + length4 + "\r\ndone"},
	{"status 600", "HTTP/1.1 600 OK\r\n" + length4 + "\r\ndone"},
	{"status 999", "HTTP/1.1 999 OK\r\n" + length4 + "\r\ndone"},
	{"status of two digits", "HTTP/1.1 20 OK\r\n" + length4 + "\r\ndone"},
	{"status of four digits", "HTTP/1.1 2000 OK\r\n" + length4 + "\r\ndone"},
	{"status with a letter", "HTTP/1.1 2x0 OK\r\n" + length4 + "\r\ndone"},
	{"status with a sign", "HTTP/1.1 +20 OK\r\n" + length4 + "\r\ndone"},
	{"status and no blank", "HTTP/1.1 200\r\n" + length4 + "\r\ndone"},
	{"two blanks before the status", "HTTP/1.1  200 OK\r\n" + length4 + "\r\ndone"},
	{"no status", "HTTP/1.1 OK\r\n" + length4 + "\r\ndone"},
	{"an upgrade", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\ndone"},
	{"version 0.9", "HTTP/0.9 200 OK\r\n" + length4 + "\r\ndone"},
	{"version 1.2", "HTTP/1.2 200 OK\r\n" + chunkedField + "\r\n4\r\ndone\r\n" + lastChunk},
	{"version 2.0", "HTTP/2.0 200 OK\r\n" + length4 + "\r\ndone"},
	{"another protocol", "HTCP/1.1 200 OK\r\n" + length4 + "\r\ndone"},
	{"lower-case protocol", "http/1.1 200 OK\r\n" + length4 + "\r\ndone"},
	{"a control byte in the reason", "HTTP/1.1 200 O\x01K\r\n" + length4 + "\r\ndone"},
	{"a lone CR in the reason", "HTTP/1.1 200 O\rK\r\n" + length4 + "\r\ndone"},
	{"an empty line first", "\r\nHTTP/1.1 200 OK\r\n" + length4 + "\r\ndone"},
	{"a status line without CR", "HTTP/1.1 200 OK\n" + length4 + "\r\ndone"},
	{"a field without CR", status200 + "X-Kind: test\n" + length4 + "\r\ndone"},
	{"an empty line without CR", status200 + length4 + "\ndone\r\n\r\n"},
	{"no empty line but LF", status200 + length4 + "\n\r\n\r\ndone"},
	{"a blank in a name", status200 + "X Kind: test\r\n" + length4 + "\r\ndone"},
	{"a blank in a framing name", status200 + "Content Length: 9\r\n" + length4 + "\r\ndone"},
	{"a blank after a name", status200 + "X-Kind : test\r\n" + length4 + "\r\ndone"},
	{"a blank after a framing name", status200 + "Content-Length : 4\r\n\r\ndone"},
	{"a tab in a name", status200 + "X\tKind: test\r\n" + length4 + "\r\ndone"},
	{"a control byte in a name", status200 + "X\x01Kind: test\r\n" + length4 + "\r\ndone"},
	{"a zero byte in a name", status200 + "X\x00Kind: test\r\n" + length4 + "\r\ndone"},
	{"DEL in a name", status200 + "X\x7fKind: test\r\n" + length4 + "\r\ndone"},
	{"a byte above ASCII in a name", status200 + "X\xe9Kind: test\r\n" + length4 + "\r\ndone"},
	{"a delimiter in a name", status200 + "X(Kind): test\r\n" + length4 + "\r\ndone"},
	{"a CR in a name", status200 + "X\rKind: test\r\n" + length4 + "\r\ndone"},
	{"a line without a colon", status200 + "X-Kind test\r\n" + length4 + "\r\ndone"},
	{"an empty name", status200 + ": test\r\n" + length4 + "\r\ndone"},
	{"a blank before the first name", status200 + " X-Kind: test\r\n" + length4 + "\r\ndone"},
	{"a folded line", status200 + "X-Kind: test\r\n folded\r\n" + length4 + "\r\ndone"},
	{"a folded framing line", status200 + "Content-Length:\r\n 4\r\n\r\ndone"},
	{"a control byte in a value", status200 + "X-Kind: te\x01st\r\n" + length4 + "\r\ndone"},
	{"a zero byte in a value", status200 + "X-Kind: te\x00st\r\n" + length4 + "\r\ndone"},
	{"DEL in a value", status200 + "X-Kind: te\x7fst\r\n" + length4 + "\r\ndone"},
	{"a lone CR in a value", status200 + "X-Kind: te\rst\r\n" + length4 + "\r\ndone"},
	{"an empty length", status200 + "Content-Length: \r\n\r\ndone"},
	{"a length with a sign", status200 + "Content-Length: +4\r\n\r\ndone"},
	{"a negative length", status200 + "Content-Length: -4\r\n\r\ndone"},
	{"a length with a fraction", status200 + "Content-Length: 4.0\r\n\r\ndone"},
	{"a hexadecimal length", status200 + "Content-Length: 0x4\r\n\r\ndone"},
	{"a length above all numbers", status200 + "Content-Length: 99999999999999999999\r\n\r\ndone"},
	{"two lengths", status200 + length4 + "Content-Length: 3\r\n\r\ndone"},
	{"a list of lengths", status200 + "Content-Length: 4, 4\r\n\r\ndone"},
	{"a length and chunks", status200 + length4 + chunkedField + "\r\n4\r\ndone\r\n" + lastChunk},
	{"chunks and a length", status200 + chunkedField + length4 + "\r\n4\r\ndone\r\n" + lastChunk},
	{"an unknown coding", status200 + "Transfer-Encoding: gzip\r\n\r\ndone"},
	{"an unknown coding before chunks", status200 + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\ndone\r\n" + lastChunk},
	{"chunks twice", status200 + chunkedField + chunkedField + "\r\n4\r\ndone\r\n" + lastChunk},
	{"chunks in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + chunkedField + "\r\n4\r\ndone\r\n" + lastChunk},
	{"a body with 204", "HTTP/1.1 204 No Content\r\n" + length4 + "\r\ndone"},
	{"chunks with 204", "HTTP/1.1 204 No Content\r\n" + chunkedField + "\r\n4\r\ndone\r\n" + lastChunk},
	{"a broken interim response", "HTTP/1.1 103 Early Hints\r\nX Kind: test\r\n\r\n" + hangup.Response},
	{"an interim response with a body", "HTTP/1.1 103 Early Hints\r\n" + length4 + "\r\n" + hangup.Response},
	{"an interim response with status 000 behind it", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + length4 + "\r\ndone"},
	{"a chunk without a size", status200 + chunkedField + "\r\n\r\ndone\r\n" + lastChunk},
	{"a chunk size with a sign", status200 + chunkedField + "\r\n+4\r\ndone\r\n" + lastChunk},
	{"a chunk size with a prefix", status200 + chunkedField + "\r\n0x4\r\ndone\r\n" + lastChunk},
	{"a chunk size with a blank after it", status200 + chunkedField + "\r\n4 \r\ndone\r\n" + lastChunk},
	{"a chunk size above all numbers", status200 + chunkedField + "\r\nfffffffffffffffff\r\ndone\r\n" + lastChunk},
	{"a chunk size without CR", status200 + chunkedField + "\r\n4\ndone\r\n" + lastChunk},
	{"a chunk without an end", status200 + chunkedField + "\r\n4\r\ndone" + lastChunk},
	{"a chunk that is too long", status200 + chunkedField + "\r\n4\r\ndoneX\r\n" + lastChunk},
	{"a chunk end without CR", status200 + chunkedField + "\r\n4\r\ndone\n" + lastChunk},
	{"a control byte in a chunk extension", status200 + chunkedField + "\r\n4;a\x01=b\r\ndone\r\n" + lastChunk},
	{"a chunk extension without a name", status200 + chunkedField + "\r\n4;=b\r\ndone\r\n" + lastChunk},
	{"a chunk extension with an open quote", status200 + chunkedField + "\r\n4;a=\"b\r\ndone\r\n" + lastChunk},
	{"a blank in a name of the trailer", status200 + chunkedField + "\r\n4\r\ndone\r\n0\r\nX Kind: test\r\n\r\n"},
	{"a control byte in a value of the trailer", status200 + chunkedField + "\r\n4\r\ndone\r\n0\r\nX-Kind: te\x01st\r\n\r\n"},
	{"a folded line of the trailer", status200 + chunkedField + "\r\n4\r\ndone\r\n0\r\nX-Kind: test\r\n folded\r\n\r\n"},
	{"a trailer line without CR", status200 + chunkedField + "\r\n4\r\ndone\r\n0\r\nX-Kind: test\n\r\n"},
}

// Whole lists complete responses with the body "done".
var Whole = []struct {
	Name, Text string
	// ToClose is set if the body ends with the connection.
	ToClose bool
}{
	{"a length", hangup.Response, false},
	{"chunks", status200 + chunkedField + "\r\n4\r\ndone\r\n" + lastChunk, false},
	{"chunks with extensions and a trailer", status200 + chunkedField + "\r\n2;a;b=c;d=\"e\\\" f\"\r\ndo\r\n2\r\nne\r\n000;x\r\nX-Kind: test\r\n\r\n", false},
	{"an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </s>\r\n\r\n" + hangup.Response, false},
	{"HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n" + length4 + "\r\ndone", false},
	{"no reason", "HTTP/1.1 200 \r\n" + length4 + "\r\ndone", false},
	{"odd but proper fields", "HTTP/1.1 200 \tOK \xe9\r\n!#$%&'*+-.^_`|~09azAZ:\r\nX:a\tb \xff\t\r\ncontent-LENGTH:\t 04 \r\n\r\ndone", false},
	{"a header without fields", status200 + "\r\ndone", true},
	{"a field and no length", status200 + "X-Kind: test\r\n\r\ndone", true},
}
