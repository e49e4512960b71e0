// The text of an event stream: lines that end with LF, CRLF or CR, and events that end with an empty line.

package proxy

import (
	"bytes"
	"iter"
	"strconv"
)

// maxEventEnd is the length in bytes of the longest end of an event.
const maxEventEnd = len("\r\n\r\n")

// firstEvent returns the first event of p, with the empty line that ends it, or nil if none is complete. If p begins within
// a line, the end of that line ends no event.
func firstEvent(p []byte, withinLine bool) []byte {
	length := 0
	for line := range eventLines(p) {
		length += len(line)
		if isLineEnd(line) && !withinLine {
			return p[:length]
		}
		withinLine = false
	}
	return nil
}

// eventLines returns the lines of p, each with its end. The last one may lack it.
func eventLines(p []byte) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(p) > 0 {
			length := lineLength(p)
			if !yield(p[:length]) {
				return
			}
			p = p[length:]
		}
	}
}

// lineLength returns the length of the first line of p, with its end.
func lineLength(p []byte) int {
	end := bytes.IndexAny(p, "\r\n")
	switch {
	case end < 0:
		return len(p)
	case bytes.HasPrefix(p[end:], []byte("\r\n")):
		return end + len("\r\n")
	}
	return end + 1
}

// isLineEnd reports whether a line has nothing but its end.
func isLineEnd(line []byte) bool { return line[0] == '\n' || line[0] == '\r' }

// eventID returns the id of an event, or an empty id if it has none.
func eventID(event []byte) (id string) {
	for line := range eventLines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// eventField returns the value of a field that is the first line of an event.
func eventField(event []byte, name string) (value string, ok bool) {
	if name == "" {
		return "", false
	}
	text, ok := bytes.CutPrefix(event[:lineLength(event)], []byte(name+":"))
	return string(bytes.TrimSpace(text)), ok
}

// hasField reports whether an event has more lines than comments.
func hasField(event []byte) bool {
	for line := range eventLines(event) {
		if line = bytes.TrimSpace(line); len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// isLaterEvent reports whether an event id is greater than an earlier one. Ids that are not numbers
// cannot be compared, and the result is true for them.
func isLaterEvent(id, before string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	last, errLast := strconv.ParseInt(before, 10, 64)
	return err != nil || errLast != nil || n > last
}
