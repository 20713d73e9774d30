package odata

import (
	"fmt"
	"net/http"
	"time"

	"passtack/internal/httpwire"
	"passtack/internal/odata"
)

// response is a response to a client without the header fields that are common to all responses.
type response struct {
	status int
	fields []byte
	body   []byte
}

// encodeMessage encodes a response as an HTTP message.
func (f *Front) encodeMessage(r *response, version string, omitBody, closeAfter bool) []byte {
	out := make([]byte, 0, 256+len(r.fields)+len(r.body))
	out = httpwire.AppendStatus(out, r.status)
	out = httpwire.AppendField(out, "Date", f.date())
	out = httpwire.AppendField(out, "OData-Version", version)
	out = append(out, r.fields...)
	if closeAfter {
		out = httpwire.AppendField(out, "Connection", "close")
	}
	if r.status == 204 || r.status == 304 {
		return append(out, "\r\n"...)
	}
	out = httpwire.AppendLength(out, len(r.body))
	if omitBody {
		return out
	}
	return append(out, r.body...)
}

// date returns the time for the Date field. It is formatted once a second.
func (f *Front) date() string {
	if second := f.loop.Now() / time.Second; second != f.dateSecond {
		f.dateSecond, f.dateText = second, time.Unix(int64(second), 0).UTC().Format(http.TimeFormat)
	}
	return f.dateText
}

// errorResponse returns the response for an error.
func errorResponse(err *odata.Error) *response {
	return &response{err.Status, httpwire.AppendField(nil, "Content-Type", "application/json"), err.Body()}
}

// pushBackResponse returns the response for a request that was pushed back: it has not run and may be retried.
func pushBackResponse(retryAfter time.Duration) *response {
	r := errorResponse(&odata.Error{Status: 503, Code: "PushedBack", Text: "not done now; asking again does no harm"})
	if retryAfter > 0 {
		r.fields = httpwire.AppendField(r.fields, "Retry-After", fmt.Sprint(int((retryAfter+time.Second-1)/time.Second)))
		r.fields = httpwire.AppendField(r.fields, "Retry-After-Ms", fmt.Sprint(int((retryAfter+time.Millisecond-1)/time.Millisecond)))
	}
	return r
}

// abortResponse returns the response for a request that failed and may have run.
func abortResponse() *response {
	return errorResponse(&odata.Error{Status: 500, Code: "Aborted", Text: "it failed and may have been done"})
}
