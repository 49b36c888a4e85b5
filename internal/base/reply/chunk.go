package reply

func (c *checker) chunkSize(b byte) Fault {
	if digit, ok := hexDigit(b); ok {
		if c.at++; c.at > maxChunkDigits {
			return FaultChunk
		}
		c.left = c.left<<4 | int64(digit)
		return ""
	}
	if c.at == 0 {
		return FaultChunk
	}
	return c.extensionEnd(b)
}

func hexDigit(b byte) (byte, bool) {
	switch {
	case b >= '0' && b <= '9':
		return b - '0', true
	case b >= 'a' && b <= 'f':
		return b - 'a' + 10, true
	case b >= 'A' && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}

// extensionEnd ends the size or an extension of a chunk.
func (c *checker) extensionEnd(b byte) Fault {
	switch b {
	case ';':
		c.state = stateExtensionStart
	case '\r':
		c.state = stateChunkSizeEnd
	default:
		return FaultChunk
	}
	return ""
}

func (c *checker) extensionStart(b byte) Fault { return c.token(b, stateExtensionName) }

// token checks the first byte of a token.
func (c *checker) token(b byte, next state) Fault {
	if classes[b]&tokenByte == 0 {
		return FaultChunk
	}
	c.state = next
	return ""
}

func (c *checker) extensionName(b byte) Fault {
	switch {
	case b == '=':
		c.state = stateExtensionValueStart
		return ""
	case classes[b]&tokenByte != 0:
		return ""
	}
	return c.extensionEnd(b)
}

func (c *checker) extensionValueStart(b byte) Fault {
	if b == '"' {
		c.state = stateQuoted
		return ""
	}
	return c.token(b, stateExtensionValue)
}

func (c *checker) extensionValue(b byte) Fault {
	if classes[b]&tokenByte != 0 {
		return ""
	}
	return c.extensionEnd(b)
}

func (c *checker) quoted(b byte) Fault {
	switch {
	case b == '"':
		c.state = stateExtensionEnd
	case b == '\\':
		c.state = stateQuotedPair
	case classes[b]&textByte == 0:
		return FaultChunk
	}
	return ""
}

func (c *checker) quotedPair(b byte) Fault {
	if classes[b]&textByte == 0 {
		return FaultChunk
	}
	c.state = stateQuoted
	return ""
}

func (c *checker) chunkSizeEnd(b byte) Fault {
	if b != '\n' {
		return FaultChunk
	}
	if c.left == 0 {
		c.inTrailer, c.state = true, stateFieldStart
		return ""
	}
	c.state = stateChunkData
	return ""
}

func (c *checker) chunkDataEnd(b byte) Fault {
	if b != '\r' {
		return FaultChunk
	}
	c.state = stateChunkEnd
	return ""
}

func (c *checker) chunkEnd(b byte) Fault {
	if b != '\n' {
		return FaultChunk
	}
	c.at, c.left, c.state = 0, 0, stateChunkSize
	return ""
}
