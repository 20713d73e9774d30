package odata

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/odata"
)

// readPreconditions reads If-Match and If-None-Match. A write that requires that no entity exists becomes a create.
func (req *request) readPreconditions() *odata.Error {
	fields := req.http.fields
	req.ifMatch, req.ifNoneMatch = fields.Text("if-match"), fields.Text("if-none-match")
	if !req.operationKind.Writes() {
		return nil
	}
	if req.ifNoneMatch != "" {
		if req.ifNoneMatch != "*" || req.operationKind != odata.Update && req.operationKind != odata.Replace && req.operationKind != odata.Upsert {
			return odata.NotOffered("", "If-None-Match of a write but * on PUT and PATCH")
		}
		if req.ifMatch != "" {
			return newError(400, "BadRequest", "If-Match and If-None-Match together")
		}
		req.operationKind = odata.Create
		if req.values, _ = req.resource.Set.Body(req.http.body, false); req.values != nil {
			req.values[req.resource.Set.Key.Name] = req.key
		}
	}
	if req.ifMatch != "" && req.operationKind == odata.Create {
		return newError(400, "BadRequest", "If-Match of a create")
	}
	return nil
}

// checkStatement rejects options for which the operation's statement has no placeholder. Members that speak OData check requests
// themselves.
func (req *request) checkStatement() *odata.Error {
	if req.form = req.front.handler.FormOf(req.group); req.form == driver.Requests {
		return nil
	}
	r, s := &req.resource, req.operation.Statement
	switch {
	case r.Filter != nil && !s.Has("where"):
		return odata.NotOffered("$filter", "$filter on "+r.Set.Name)
	case len(r.Order) > 0 && !s.Has("order"):
		return odata.NotOffered("$orderby", "$orderby on "+r.Set.Name)
	case r.Count && req.operationKind == odata.List && !s.Has("counted"):
		return odata.NotOffered("$count", "$count beside the items of "+r.Set.Name)
	}
	if req.operationKind.Writes() && req.ifMatch != "" && req.ifMatch != "*" {
		version, ok := odata.VersionOf(req.ifMatch)
		if !ok || strings.Contains(req.ifMatch, ",") {
			return newError(400, "BadRequest", "If-Match %q is no tag of this service", req.ifMatch)
		}
		if !s.Has("match") || r.Set.ETag == nil {
			return odata.NotOffered("If-Match", "If-Match with a tag on "+odata.OperationNames[req.operationKind]+" of "+r.Set.Name)
		}
		req.requiredVersion = version
	}
	if req.operationKind.Writes() && (req.ifMatch == "" || req.ifMatch == "*") && s.Has("match") {
		return newError(428, "PreconditionRequired", "%s of %s wants If-Match with the version that is there", odata.OperationNames[req.operationKind], r.Set.Name)
	}
	return nil
}

// readRepeatability reads the header fields of a repeatable request.
func (req *request) readRepeatability() *odata.Error {
	fields := req.http.fields
	id, sent := fields.Text("repeatability-request-id"), fields.Text("repeatability-first-sent")
	if !req.operationKind.Writes() || id == "" && sent == "" {
		return nil
	}
	if id == "" || sent == "" {
		return newError(400, "BadRequest", "Repeatability-Request-ID and Repeatability-First-Sent belong together")
	}
	client := fields.Text("repeatability-client-id")
	if len(id) > 128 || len(client) > 128 {
		return newError(400, "BadRequest", "a Repeatability-Request-ID or Repeatability-Client-ID of over 128 characters")
	}
	sentAt, parseErr := http.ParseTime(sent)
	if parseErr != nil {
		return newError(400, "BadRequest", "Repeatability-First-Sent %q is no date", sent)
	}
	if !req.operation.HasIdempotencyKey && !req.operation.Idempotent {
		return odata.NotOffered("", "a repeatable "+odata.OperationNames[req.operationKind]+" of "+req.resource.Set.Name)
	}
	req.idempotencyKey, req.repeatabilityID = client+"\x00"+id, id
	req.firstSent = time.Duration(sentAt.UnixNano())
	if millis := fields.Text("first-sent-ms"); millis != "" { // a date has a resolution of one second
		n, parseErr := strconv.ParseInt(millis, 10, 64)
		if exact := time.Duration(n) * time.Millisecond; parseErr == nil && exact.Truncate(time.Second) == req.firstSent {
			req.firstSent = exact
		} else {
			return newError(400, "BadRequest", "First-Sent-Ms %q lies outside of its second", millis)
		}
	}
	return nil
}
