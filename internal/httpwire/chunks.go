package httpwire

import (
	"bytes"
	"strconv"
)

const maxChunkLine = 256 // bytes

// chunkScan is how far the chunks of an incomplete body were scanned, so that each byte is scanned once.
type chunkScan struct {
	offset int  // of the next line with a length
	total  int  // bytes of the body before it
	ended  bool // the last chunk was seen, and the trailer begins at offset
	needed int  // bytes without which a further scan finds nothing new
}

// scan adds up the lengths of the chunks that have arrived. ok is true once the last one has.
func (c *chunkScan) scan(in []byte, limits Limits) (ok bool, fault *Fault) {
	for !c.ended {
		n, line, fault := parseChunkLine(in[min(c.offset, len(in)):])
		if fault != nil || line == 0 {
			return false, fault
		}
		end := c.offset + line
		if n == 0 {
			c.offset, c.ended = end, true
			break
		}
		if c.total+n > limits.Body {
			return false, &Fault{413, "the body is too long"}
		}
		if end += n; !continuesWith(in[min(end, len(in)):], lineEnd) {
			return false, &Fault{400, "a chunk of another length than told"}
		}
		if end += len(lineEnd); end > len(in) {
			c.needed = end
			return false, nil
		}
		c.total, c.offset = c.total+n, end
	}
	return true, nil
}

// continuesWith reports whether in begins with text, as far as it has arrived.
func continuesWith(in, text []byte) bool {
	return bytes.HasPrefix(text, in[:min(len(in), len(text))])
}

// decodeChunked joins the chunks of a chunked body once it is complete. It returns size 0 until then.
func decodeChunked(in []byte, limits Limits, scanned *chunkScan) (body []byte, size int, fault *Fault) {
	if ok, fault := scanned.scan(in, limits); !ok {
		return nil, 0, fault
	}
	_, trailer, fault := parseFields(in[scanned.offset:], limits.Fields)
	if fault != nil || trailer == 0 {
		if fault == nil && len(in)-scanned.offset > limits.Head {
			fault = &Fault{431, "the trailer is too long"}
		}
		return nil, 0, fault
	}
	return joinChunks(in, scanned.total), scanned.offset + trailer, nil
}

// parsePlainChunkLine parses a line that holds a few digits and nothing else. It returns size 0 for any other.
func parsePlainChunkLine(in []byte) (n, size int) {
	const maxDigits = 6
	for digits := range min(len(in)-1, maxDigits+1) {
		value := hexValue[in[digits]]
		if value < 0 {
			if digits > 0 && in[digits] == '\r' && in[digits+1] == '\n' {
				return n, digits + len(lineEnd)
			}
			return 0, 0
		}
		n = n<<4 | int(value)
	}
	return 0, 0
}

// hexValue holds the values of hexadecimal digits, and -1 for all other bytes.
var hexValue = func() (values [256]int8) {
	for b := range values {
		values[b] = -1
	}
	for i := range 16 {
		values["0123456789abcdef"[i]], values["0123456789ABCDEF"[i]] = int8(i), int8(i)
	}
	return values
}()

// joinChunks returns the body of chunks that were scanned.
func joinChunks(in []byte, total int) []byte {
	body := make([]byte, 0, total)
	for len(body) < total {
		n, line, _ := parseChunkLine(in)
		body = append(body, in[line:line+n]...)
		in = in[line+n+len(lineEnd):]
	}
	return body
}

// parseChunkLine parses the line with the length of the next chunk. It returns size 0 while the line is incomplete.
func parseChunkLine(in []byte) (n, size int, fault *Fault) {
	if n, size = parsePlainChunkLine(in); size > 0 {
		return n, size, nil
	}
	end := bytes.IndexByte(in[:min(len(in), maxChunkLine)], '\n')
	if end < 0 && len(in) >= maxChunkLine {
		return 0, 0, &Fault{400, "a chunk without a length"}
	}
	if end < 0 {
		return 0, 0, nil
	}
	if end == 0 || in[end-1] != '\r' {
		return 0, 0, &Fault{400, "a line without CR"}
	}
	digits, extension, _ := bytes.Cut(in[:end-1], []byte(";"))
	digits = bytes.TrimRight(digits, " \t")
	value, err := strconv.ParseUint(string(digits), 16, 31)
	if err != nil || digits[0] == '+' || len(digits) > 8 || bytes.IndexByte(extension, '\r') >= 0 {
		return 0, 0, &Fault{400, "a chunk without a length"}
	}
	return int(value), end + 1, nil
}
