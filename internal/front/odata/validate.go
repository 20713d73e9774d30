package odata

import (
	"fmt"
	"mime"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/internal/httpwire"
	"passtack/internal/odata"
)

// httpRequest is one request as received, alone or in a batch.
type httpRequest struct {
	verb, target string
	fields       httpwire.Fields
	body         []byte
	receivedAt   time.Duration // arrival of the last byte; in a batch, the time at which the request was sent to the driver
	inBatch      bool
}

// newError returns an error for the client.
func newError(status int, code, format string, args ...any) *odata.Error {
	return &odata.Error{Status: status, Code: code, Text: fmt.Sprintf(format, args...)}
}

// validate parses and checks a request. It returns the request to send, or the response if nothing has to be sent. The resource
// of the returned request is an entity set, a part of one, or $batch.
func (f *Front) validate(httpReq *httpRequest) (*request, *response) {
	req := &request{front: f, http: httpReq}
	req.minimalMetadata, req.returnPreference = true, preference(httpReq.fields, "return")
	if fault := httpwire.CheckTarget(httpReq.target, f.config.HTTP); fault != nil {
		return nil, errorResponse(newError(fault.Status, "BadRequest", "%s", fault.Reason))
	}
	if err := httpReq.checkVersions(); err != nil {
		return nil, errorResponse(err)
	}
	resource, err := f.config.Model.Parse(httpReq.target, f.config.Root)
	if err != nil {
		return nil, errorResponse(err)
	}
	req.resource = resource
	if r := f.checkMethod(req); r != nil {
		return nil, r
	}
	if r := f.serveDocument(req); r != nil {
		return nil, r
	}
	if resource.Kind == odata.BatchResource {
		if httpReq.inBatch {
			return nil, errorResponse(odata.NotOffered("", "a batch in a batch"))
		}
		return req, nil
	}
	if err := req.chooseOperation(); err != nil {
		return nil, errorResponse(err)
	}
	if err := req.readBody(); err != nil {
		return nil, errorResponse(err)
	}
	if err := req.readPreconditions(); err != nil {
		return nil, errorResponse(err)
	}
	if err := req.chooseGroup(); err != nil {
		return nil, errorResponse(err)
	}
	if req.operation = req.resource.Set.Operations[req.operationKind]; req.operation == nil {
		return nil, errorResponse(odata.NotOffered("", odata.OperationNames[req.operationKind]+" of "+req.resource.Set.Name))
	}
	if err := req.checkStatement(); err != nil {
		return nil, errorResponse(err)
	}
	if err := req.readRepeatability(); err != nil {
		return nil, errorResponse(err)
	}
	return req, nil
}

// checkVersions checks OData-Version and OData-MaxVersion.
func (httpReq *httpRequest) checkVersions() *odata.Error {
	if v := httpReq.fields.Text("odata-version"); v != "" && v != "4.0" && v != "4.01" {
		return newError(400, "BadVersion", "OData-Version %q is neither 4.0 nor 4.01", v)
	}
	if v := httpReq.fields.Text("odata-maxversion"); v != "" {
		if n, err := strconv.ParseFloat(v, 64); err != nil || n < 4 {
			return newError(400, "BadVersion", "OData-MaxVersion %q is under 4.0", v)
		}
	}
	return nil
}

// knownVerbs are the HTTP methods that are recognized, whether or not a resource allows them.
var knownVerbs = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true}

// checkMethod rejects a method that the resource does not allow, and answers OPTIONS.
func (f *Front) checkMethod(req *request) *response {
	allowed := map[odata.Kind]string{
		odata.BatchResource: "POST", odata.Collection: "GET, HEAD, POST", odata.Entity: "GET, HEAD, PATCH, PUT, DELETE",
	}[req.resource.Kind]
	if allowed == "" {
		allowed = "GET, HEAD"
	}
	verb := req.http.verb
	for item := range strings.SplitSeq(allowed, ", ") {
		if item == verb {
			return nil
		}
	}
	if !knownVerbs[verb] {
		return errorResponse(odata.NotOffered("", "the method "+verb))
	}
	r := &response{status: 204}
	if verb != "OPTIONS" {
		r = errorResponse(newError(405, "MethodNotAllowed", "%s does not fit this resource", verb))
	}
	r.fields = httpwire.AppendField(r.fields, "Allow", allowed)
	return r
}

// serveDocument answers requests for the service document and the metadata.
func (f *Front) serveDocument(req *request) *response {
	r := &response{status: 200}
	switch req.resource.Kind {
	case odata.ServiceDocument:
		if err := req.negotiateFormat("application/json"); err != nil {
			return errorResponse(err)
		}
		r.body = f.config.Model.Service(f.config.Root)
		r.fields = httpwire.AppendField(nil, "Content-Type", "application/json;odata.metadata=minimal")
	case odata.Metadata:
		if err := req.negotiateFormat("application/xml", "application/json"); err != nil {
			return errorResponse(err)
		}
		if req.format == "application/xml" {
			r.body = f.config.Model.XML()
		} else {
			r.body = f.config.Model.JSON()
		}
		r.fields = httpwire.AppendField(nil, "Content-Type", req.format)
	default:
		return nil
	}
	return r
}

// chooseOperation determines the kind of operation and the format of the response.
func (req *request) chooseOperation() *odata.Error {
	formats := []string{"application/json"}
	switch req.resource.Kind {
	case odata.Collection:
		req.operationKind = odata.List
	case odata.CountResource, odata.ValueResource:
		req.operationKind = odata.Read
		if req.resource.Kind == odata.CountResource {
			req.operationKind = odata.Count
		}
		formats = []string{"text/plain"}
	}
	switch req.http.verb {
	case "POST":
		req.operationKind = odata.Create
	case "PATCH", "PUT":
		req.operationKind = map[string]odata.OperationKind{"PATCH": odata.Update, "PUT": odata.Replace}[req.http.verb]
		if req.resource.Set.Operations[odata.Upsert] != nil && req.http.fields.Text("if-match") == "" {
			req.operationKind = odata.Upsert
		}
	case "DELETE":
		req.operationKind = odata.Delete
	}
	return req.negotiateFormat(formats...)
}

// readBody reads the body of a write, and rejects the body of any other request.
func (req *request) readBody() (err *odata.Error) {
	req.key = req.resource.Key
	if !req.operationKind.Writes() || req.operationKind == odata.Delete {
		if len(req.http.body) > 0 {
			return newError(400, "BadRequest", "%s brings a body", req.http.verb)
		}
		return nil
	}
	media, parameters, parseErr := mime.ParseMediaType(req.http.fields.Text("content-type"))
	if parseErr != nil || media != "application/json" {
		return newError(415, "UnsupportedMediaType", "a body is application/json")
	}
	if charset := parameters["charset"]; charset != "" && !strings.EqualFold(charset, "utf-8") {
		return newError(415, "UnsupportedMediaType", "a body is in UTF-8")
	}
	set := req.resource.Set
	if req.values, err = set.Body(req.http.body, req.operationKind == odata.Create); err != nil {
		return err
	}
	switch key, found := req.values[set.Key.Name]; {
	case req.operationKind == odata.Create:
		req.key = key
	case found && odata.KeyOf(key) != odata.KeyOf(req.key):
		return newError(400, "BadRequest", "the key of the body is not the one of the path")
	default:
		req.values[set.Key.Name] = req.key
	}
	if req.operationKind == odata.Replace || req.operationKind == odata.Upsert && req.http.verb == "PUT" {
		for _, p := range set.Properties {
			if _, found := req.values[p.Name]; !found && !p.Nullable {
				return newError(400, "BadRequest", "%s is missing", p.Name)
			}
		}
	}
	return nil
}

// chooseGroup determines the group, by a hash of the key if the entity set is spread over several groups.
func (req *request) chooseGroup() *odata.Error {
	groups := req.resource.Set.Groups
	if req.operationKind == odata.List || req.operationKind == odata.Count {
		if len(groups) > 1 {
			return odata.NotOffered("", fmt.Sprintf("a collection over %d groups", len(groups)))
		}
		req.group = groups[0]
		return nil
	}
	req.group = groups[xxh3.HashString(req.key.Text)%uint64(len(groups))]
	return nil
}
