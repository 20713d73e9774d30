package odata

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/httpwire"
	"passtack/internal/odata"
)

// encode encodes the request to the member, with the idempotency token of a write and the position that a read must see.
func (req *request) encode(method driver.Method, token string, position time.Duration) {
	f := req.front
	req.memberRequest.Form = req.form
	if req.form == driver.Requests {
		req.encodeHTTP(token, position)
		return
	}
	header := fmt.Appendf(nil, "/* id=%s,c=%s,d=", req.id, f.methods[method])
	comment := []byte{}
	if token != "" {
		comment = fmt.Appendf(comment, ",k=%s", token)
	}
	comment = fmt.Appendf(comment, ",cluster=%d", req.group)
	if position > 0 {
		comment = fmt.Appendf(comment, ",after=%d", (position+time.Millisecond-1)/time.Millisecond)
	}
	comment = append(comment, " */ "...)
	set := req.resource.Set
	arguments := &odata.Arguments{
		Key: req.key, Body: req.http.body, Values: req.values, Filter: req.resource.Filter, Order: req.resource.Order,
		Skip: req.resource.Skip, Top: req.pageSize() + 1, Match: req.requiredVersion, Set: set, Count: req.resource.Count,
	}
	if req.resource.Top >= 0 && req.resource.Top <= set.PageSize { // no next page, so no further item is needed to detect one
		arguments.Top = req.resource.Top
	}
	req.memberRequest.Before, req.memberRequest.After = header, req.operation.Statement.Append(comment, arguments)
}

// pageSize returns how many items the response may hold.
func (req *request) pageSize() int {
	if req.resource.Top >= 0 {
		return min(req.resource.Top, req.resource.Set.PageSize)
	}
	return req.resource.Set.PageSize
}

// encodeHTTP encodes the request for members that speak OData: as it was received, with its path below the members' root.
func (req *request) encodeHTTP(token string, position time.Duration) {
	httpReq, f := req.http, req.front
	req.memberRequest.Verb, req.memberRequest.Body = httpReq.verb, append([]byte(nil), httpReq.body...)
	if httpReq.verb == "HEAD" { // the Content-Length of the response is that of the body, which only GET returns
		req.memberRequest.Verb = "GET"
	}
	path := httpReq.target
	if _, rest, found := strings.Cut(path, "://"); found && !strings.HasPrefix(path, "/") {
		path = rest[max(strings.IndexByte(rest, '/'), 0):]
	}
	path = strings.TrimPrefix(path, f.config.Root)
	req.memberRequest.Path = f.memberRoot + strings.TrimPrefix(path, "/")
	out := httpwire.AppendField(nil, "Request-Id", req.id)
	if token != "" {
		out = httpwire.AppendField(out, "Repeatability-Request-ID", token)
	}
	if position > 0 {
		out = httpwire.AppendField(out, "Session-Position", strconv.FormatInt(int64((position+time.Millisecond-1)/time.Millisecond), 10))
	}
	if len(httpReq.body) > 0 {
		out = httpwire.AppendField(out, "Content-Type", "application/json")
	}
	for _, name := range []string{"Accept", "Prefer", "If-Match", "If-None-Match", "OData-Version", "OData-MaxVersion"} {
		if value := httpReq.fields.Text(name); value != "" {
			out = httpwire.AppendField(out, name, value)
		}
	}
	req.memberRequest.Fields = out
}
