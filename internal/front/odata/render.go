package odata

import (
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/httpwire"
	"passtack/internal/odata"
)

// malformedValueResponse returns the response if a member's value does not match the metadata.
func malformedValueResponse() *response {
	return errorResponse(newError(500, "BrokenValue", "a member answered with what is no such resource"))
}

// render returns the response to the client for a member's answer.
func (f *Front) render(req *request, a *driver.Answer) *response {
	var r *response
	if a.Form == driver.Requests {
		r = f.forward(req, a)
	} else {
		r = f.renderValue(req, a.Value)
	}
	if req.operationKind.Writes() && a.Position > 0 && r.status < 300 {
		r.fields = httpwire.AppendField(r.fields, "Session-Position", strconv.FormatInt(int64(a.Position/time.Millisecond), 10))
	}
	return r
}

// forwardedFields are the header fields of a member's response that are forwarded to the client.
var forwardedFields = []string{"Content-Type", "ETag", "Preference-Applied", "Allow"}

// forward returns the response to the client for the response of a member that speaks OData. The body is unchanged.
func (f *Front) forward(req *request, a *driver.Answer) *response {
	r := &response{status: a.Status, body: append([]byte(nil), a.Value...)}
	fields := httpwire.Fields(a.Fields)
	for _, name := range forwardedFields {
		if value := fields.Text(name); value != "" {
			r.fields = httpwire.AppendField(r.fields, name, value)
		}
	}
	if req.operationKind == odata.Create && a.Status < 300 {
		r.fields = f.appendLocation(r.fields, req, req.key, a.Status == 204)
	}
	return r
}

// appendLocation appends the fields that locate a new entity.
func (f *Front) appendLocation(fields []byte, req *request, key odata.Value, withID bool) []byte {
	at := f.config.Root + req.resource.Set.Name + "(" + odata.Encode(odata.KeyOf(key)) + ")"
	fields = httpwire.AppendField(fields, "Location", at)
	if withID {
		fields = httpwire.AppendField(fields, "OData-EntityId", at)
	}
	return fields
}

// renderValue returns the response for the value of a statement.
func (f *Front) renderValue(req *request, value []byte) *response {
	if req.operationKind.Writes() {
		return f.renderWrite(req, value)
	}
	res, root := &req.resource, f.config.Root
	json := httpwire.AppendField(nil, "Content-Type", "application/json;odata.metadata="+map[bool]string{true: "minimal", false: "none"}[req.minimalMetadata])
	plain := httpwire.AppendField(nil, "Content-Type", "text/plain")
	switch {
	case req.operationKind == odata.Count:
		if n, err := strconv.ParseUint(strings.TrimSpace(string(value)), 10, 63); err == nil {
			return &response{200, plain, strconv.AppendUint(nil, n, 10)}
		}
		return malformedValueResponse()
	case req.operationKind == odata.List:
		body, ok := res.CollectionBody(value, root, req.pageSize(), req.minimalMetadata, req.nextPage())
		if !ok {
			return malformedValueResponse()
		}
		return &response{200, json, body}
	case odata.IsNoEntity(value):
		return errorResponse(newError(404, "NotFound", "there is no such entity"))
	}
	entityBody, ok := res.EntityBody(value, root, req.minimalMetadata)
	if !ok {
		return malformedValueResponse()
	}
	tag := res.Set.ETagOf(value)
	if r := req.conditionalResponse(tag); r != nil {
		return r
	}
	switch res.Kind {
	case odata.PropertyResource, odata.ValueResource:
		body, null, ok := res.PropertyBody(value, root, req.minimalMetadata, res.Kind == odata.ValueResource)
		if !ok {
			return malformedValueResponse()
		}
		r := &response{200, json, body}
		if res.Kind == odata.ValueResource {
			r.fields = plain
		}
		if null {
			r = &response{status: 204}
		}
		return withETag(r, tag)
	}
	return withETag(&response{200, json, entityBody}, tag)
}

// withETag adds the entity's tag to a response, if it has one.
func withETag(r *response, tag string) *response {
	if tag != "" {
		r.fields = httpwire.AppendField(r.fields, "ETag", tag)
	}
	return r
}

// conditionalResponse returns the response to a read whose precondition fails, or whose client already has this version of the
// entity, otherwise nil.
func (req *request) conditionalResponse(tag string) *response {
	matches := func(tags string) bool {
		for item := range strings.SplitSeq(tags, ",") {
			if item = strings.TrimSpace(item); item == "*" || item == tag && tag != "" {
				return true
			}
		}
		return false
	}
	if req.ifMatch != "" && !matches(req.ifMatch) {
		return errorResponse(newError(412, "PreconditionFailed", "the entity has another version"))
	}
	if req.ifNoneMatch != "" && matches(req.ifNoneMatch) {
		return withETag(&response{status: 304}, tag)
	}
	return nil
}

// nextPage returns the target of the next page, or "" if this page reaches the client's $top.
func (req *request) nextPage() string {
	r := &req.resource
	left := -1
	if r.Top >= 0 {
		if left = r.Top - req.pageSize(); left <= 0 {
			return ""
		}
	}
	target, query, _ := strings.Cut(req.http.target, "?")
	var parts []string
	for option := range strings.SplitSeq(query, "&") {
		name, _, _ := strings.Cut(option, "=")
		name = strings.TrimPrefix(strings.ReplaceAll(name, "%24", "$"), "$")
		if option != "" && name != "skip" && name != "top" {
			parts = append(parts, option)
		}
	}
	parts = append(parts, "$skip="+strconv.Itoa(r.Skip+req.pageSize()))
	if left > 0 {
		parts = append(parts, "$top="+strconv.Itoa(left))
	}
	return target + "?" + strings.Join(parts, "&")
}

// renderWrite returns the response for the value of a write's statement: the entity, a status without a body, or an error if the
// statement matched no entity.
func (f *Front) renderWrite(req *request, value []byte) *response {
	res := &req.resource
	if odata.IsNoEntity(value) {
		switch {
		case req.operationKind == odata.Create:
			return errorResponse(newError(409, "Conflict", "there is an entity of this key"))
		case req.requiredVersion != "":
			return errorResponse(newError(412, "PreconditionFailed", "the entity has another version, or is gone"))
		}
		return errorResponse(newError(404, "NotFound", "there is no such entity"))
	}
	if req.operationKind == odata.Delete {
		return &response{status: 204}
	}
	body, isEntity := res.EntityBody(value, f.config.Root, req.minimalMetadata)
	key, hasKey := res.Set.KeyOfEntity(value)
	if !hasKey {
		key = req.key
	}
	tag := ""
	if isEntity {
		tag = res.Set.ETagOf(value)
	}
	created := req.operationKind == odata.Create
	if returnsEntity := isEntity && (req.returnPreference == "representation" || created && req.returnPreference != "minimal"); returnsEntity {
		r := &response{status: 200, body: body}
		r.fields = httpwire.AppendField(nil, "Content-Type", "application/json;odata.metadata="+map[bool]string{true: "minimal", false: "none"}[req.minimalMetadata])
		if created {
			r.status, r.fields = 201, f.appendLocation(r.fields, req, key, false)
		}
		if req.returnPreference != "" {
			r.fields = httpwire.AppendField(r.fields, "Preference-Applied", "return=representation")
		}
		return withETag(r, tag)
	}
	r := &response{status: 204}
	if created {
		r.fields = f.appendLocation(nil, req, key, true)
	}
	if req.returnPreference != "representation" && req.returnPreference != "" {
		r.fields = httpwire.AppendField(r.fields, "Preference-Applied", "return=minimal")
	}
	return withETag(r, tag)
}
