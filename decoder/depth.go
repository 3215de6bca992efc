package decoder

import "bytes"

// MaxDepth is the deepest nesting of objects and lists that Parse reads. It
// bounds the stack that a hostile document can claim.
const MaxDepth = 32

// tooDeep returns the offset where content nests deeper than MaxDepth.
func tooDeep(content []byte) (offset int, found bool) {
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

// skipString returns the offset of the quote that ends the string at start.
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

// skipComment returns the offset of the last byte of the comment at start, or
// start if there is none.
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
