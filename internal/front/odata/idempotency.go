package odata

import (
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/internal/httpwire"
	"passtack/internal/idempotency"
	"passtack/internal/odata"
)

// idempotencyToken returns the token by which a group recognizes a repeated request. It is the request id of the client if that
// id is valid in the comment of a statement and was sent without a client id, otherwise a hash of the key.
func idempotencyToken(key, id string) string {
	plain := len(id) <= 64 && strings.HasPrefix(key, "\x00")
	for i := range len(id) {
		b := id[i]
		plain = plain && (b == '-' || b == '_' || b >= '0' && b <= '9' || b|0x20 >= 'a' && b|0x20 <= 'z')
	}
	if plain {
		return id
	}
	sum := xxh3.HashString128(key)
	return fmt.Sprintf("%016x%016x", sum.Hi, sum.Lo)
}

// unlimitedWindow is the repeat window of an idempotent operation, whose repeats may always run again.
const unlimitedWindow = 1 << 20 * time.Hour

// checkIdempotency looks up the request in the registry. It returns false if the request was answered or waits for the response
// to another one.
func (f *Front) checkIdempotency(req *request, now, deadline time.Duration) bool {
	digest := xxh3.New()
	digest.WriteString(req.http.verb + "\x00" + req.resource.Set.Name + "\x00" + odata.KeyOf(req.key) + "\x00" + req.ifMatch + "\x00")
	digest.Write(req.http.body)
	window := req.operation.Window
	if req.operation.Idempotent {
		window = unlimitedWindow
	}
	verdict, entry := f.registry.Begin(idempotency.Request{Key: req.idempotencyKey, Digest: digest.Sum64(), FirstSent: req.firstSent, Window: window}, now)
	reject := func(counter string, outcome idempotency.Outcome, status int, code, text string) {
		f.handler.Count(counter)
		r := errorResponse(newError(status, code, "%s", text))
		r.fields = httpwire.AppendField(r.fields, "Repeatability-Result", "rejected")
		req.finish(outcome, r, 0)
	}
	switch verdict {
	case idempotency.Run:
		req.entry, entry.Runner = entry, uint32(req.handle)
		return true
	case idempotency.Join:
		f.handler.Count("repeats_joined")
		req.joinedEntry = entry
		entry.Waiters = append(entry.Waiters, uint32(req.handle))
		req.joinTimeout = f.loop.At(deadline, func() { req.finish(idempotency.Uncertain, abortResponse(), 0) })
	case idempotency.Replay:
		f.handler.Count("repeats_replayed")
		req.finish(idempotency.Completed, decodeResponse(entry.Response), 0)
	case idempotency.TooLate:
		reject("repeats_rejected", idempotency.Uncertain, 412, "TooLate", "it may have been done, and a repeat is no longer known; look before asking anew under another id")
	case idempotency.KeyReused:
		reject("repeats_rejected", idempotency.NotRun, 412, "OtherRequest", "this Repeatability-Request-ID was used for another request")
	case idempotency.FromFuture:
		reject("repeats_rejected", idempotency.NotRun, 400, "BadRequest", "Repeatability-First-Sent lies in the future")
	case idempotency.AtCapacity:
		f.handler.Count("repeats_at_capacity")
		req.finish(idempotency.NotRun, pushBackResponse(0), 0)
	}
	return false
}

// encodeResponse encodes a response for storage. A response of more than maxBytes is replaced by one that
// only confirms success.
func encodeResponse(r *response, maxBytes int) []byte {
	if len(r.fields)+len(r.body) > maxBytes {
		r = &response{204, httpwire.AppendField(nil, "Preference-Applied", "return=minimal"), nil}
	}
	out := binary.BigEndian.AppendUint16(nil, uint16(r.status))
	out = binary.BigEndian.AppendUint32(out, uint32(len(r.fields)))
	return append(append(out, r.fields...), r.body...)
}

// decodeResponse decodes a stored response.
func decodeResponse(stored []byte) *response {
	n := binary.BigEndian.Uint32(stored[2:])
	return &response{int(binary.BigEndian.Uint16(stored)), stored[6 : 6+n : 6+n], stored[6+n:]}
}
