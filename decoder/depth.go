package decoder

import "bytes"

// MaxDepth is the deepest nesting of objects and lists that Parse accepts. It
// bounds the stack depth that a hostile document can cause.
const MaxDepth = 32

// findExcessDepth returns the offset of the first bracket that nests deeper than
// MaxDepth, and whether there is one.
func findExcessDepth(content []byte) (offset int, found bool) {
	depth := 0
	for i := 0; i < len(content); i++ {
		switch content[i] {
		case '"':
			i = skipString(content, i)
		case '/':
			i = skipComment(content, i)
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		}
		if depth > MaxDepth {
			return i, true
		}
	}
	return 0, false
}

// skipString returns the offset of the quote that ends the string at start, or the
// length of content if the string does not end.
func skipString(content []byte, start int) int {
	for i := start + 1; i < len(content); i++ {
		switch content[i] {
		case '\\':
			i++
		case '"':
			return i
		}
	}
	return len(content)
}

// skipComment returns the offset of the last byte of the comment at start. It
// returns start if there is no comment, and the length of content if the comment
// does not end.
func skipComment(content []byte, start int) int {
	rest := content[start:]
	end := -1
	switch {
	case bytes.HasPrefix(rest, []byte("//")):
		end = bytes.IndexByte(rest, '\n')
	case bytes.HasPrefix(rest, []byte("/*")):
		const opening = 2
		end = bytes.Index(rest[opening:], []byte("*/"))
		if end >= 0 {
			end += opening + 1
		}
	default:
		return start
	}
	if end < 0 {
		return len(content)
	}
	return start + end
}
