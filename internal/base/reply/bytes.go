package reply

// byteClass is a set of classes of bytes.
type byteClass uint8

const (
	// tokenByte is tchar: what names consist of.
	tokenByte byteClass = 1 << iota
	// textByte is HTAB, SP, VCHAR or obs-text: what values and reasons consist of.
	textByte
)

var classes = newClasses()

func newClasses() (all [256]byteClass) {
	for b := range all {
		if b == '\t' || b >= ' ' && b != 0x7f {
			all[b] |= textByte
		}
		if b >= '0' && b <= '9' || b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' {
			all[b] |= tokenByte
		}
	}
	for _, b := range []byte("!#$%&'*+-.^_`|~") {
		all[b] |= tokenByte
	}
	return all
}
