package odata

import (
	"fmt"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/xxh3"

	"passtack/driver"
	"passtack/internal/front"
	"passtack/internal/httpwire"
	"passtack/internal/odata"
)

// question is one request, alone or of a batch.
type question struct {
	verb, target string
	fields       httpwire.Fields
	body         []byte
	came         time.Duration // when all of it had; of a batch's, when its turn came
	inner        bool          // of a batch
}

func fault(status int, code, format string, args ...any) *odata.Error {
	return &odata.Error{Status: status, Code: code, Text: fmt.Sprintf(format, args...)}
}

// judge reads a request and checks it; it gives an errand that may be sent, or the answer where nothing has to be. The
// resource of an errand may also be a batch.
func (f *Front) judge(q *question) (*errand, *reply) {
	e := &errand{front: f, question: q, minimal: true, returns: preference(q.fields, "return")}
	if err := q.versions(); err != nil {
		return nil, failure(err)
	}
	resource, err := f.offer.Model.Parse(q.target, f.offer.Root)
	if err != nil {
		return nil, failure(err)
	}
	e.resource = resource
	if r := f.allowed(e); r != nil {
		return nil, r
	}
	if r := f.documents(e); r != nil {
		return nil, r
	}
	if resource.Kind == odata.BatchOf {
		if q.inner {
			return nil, failure(odata.Missing("", "a batch in a batch"))
		}
		return e, nil
	}
	if err := e.choose(); err != nil {
		return nil, failure(err)
	}
	if err := e.read(); err != nil {
		return nil, failure(err)
	}
	if err := e.conditions(); err != nil {
		return nil, failure(err)
	}
	if err := e.place(); err != nil {
		return nil, failure(err)
	}
	if e.operation = e.resource.Set.Operations[e.act]; e.operation == nil {
		return nil, failure(odata.Missing("", odata.Names[e.act]+" of "+e.resource.Set.Name))
	}
	if err := e.blanks(); err != nil {
		return nil, failure(err)
	}
	if err := e.repeatable(); err != nil {
		return nil, failure(err)
	}
	return e, nil
}

// versions checks what the client can read and has written.
func (q *question) versions() *odata.Error {
	if v := q.fields.Text("odata-version"); v != "" && v != "4.0" && v != "4.01" {
		return fault(400, "BadVersion", "OData-Version %q is neither 4.0 nor 4.01", v)
	}
	if v := q.fields.Text("odata-maxversion"); v != "" {
		if n, err := strconv.ParseFloat(v, 64); err != nil || n < 4 {
			return fault(400, "BadVersion", "OData-MaxVersion %q is under 4.0", v)
		}
	}
	return nil
}

var verbs = map[string]bool{"GET": true, "HEAD": true, "POST": true, "PUT": true, "PATCH": true, "DELETE": true, "OPTIONS": true}

// allowed tells what may be done with the resource, unless it is what the client wants.
func (f *Front) allowed(e *errand) *reply {
	may := map[odata.Kind]string{
		odata.BatchOf: "POST", odata.Collection: "GET, HEAD, POST", odata.Entity: "GET, HEAD, PATCH, PUT, DELETE",
	}[e.resource.Kind]
	if may == "" {
		may = "GET, HEAD"
	}
	verb := e.question.verb
	for one := range strings.SplitSeq(may, ", ") {
		if one == verb {
			return nil
		}
	}
	if !verbs[verb] {
		return failure(odata.Missing("", "the method "+verb))
	}
	r := &reply{status: 204}
	if verb != "OPTIONS" {
		r = failure(fault(405, "MethodNotAllowed", "%s does not fit this resource", verb))
	}
	r.fields = httpwire.AppendField(r.fields, "Allow", may)
	return r
}

// documents answers what is known without asking anybody.
func (f *Front) documents(e *errand) *reply {
	r := &reply{status: 200}
	switch e.resource.Kind {
	case odata.ServiceDocument:
		if err := e.accepts("application/json"); err != nil {
			return failure(err)
		}
		r.body = f.offer.Model.Service(f.offer.Root)
		r.fields = httpwire.AppendField(nil, "Content-Type", "application/json;odata.metadata=minimal")
	case odata.Metadata:
		if err := e.accepts("application/xml", "application/json"); err != nil {
			return failure(err)
		}
		if e.format == "application/xml" {
			r.body = f.offer.Model.XML()
		} else {
			r.body = f.offer.Model.JSON()
		}
		r.fields = httpwire.AppendField(nil, "Content-Type", e.format)
	default:
		return nil
	}
	return r
}

// accepts picks the first of the forms that the client takes; $format goes before Accept.
func (e *errand) accepts(forms ...string) *odata.Error {
	wanted := e.question.fields.Text("accept")
	if short := e.resource.Format; short != "" {
		if full := map[string]string{"json": "application/json", "xml": "application/xml"}[short]; full != "" {
			short = full
		}
		wanted = short
	}
	if strings.TrimSpace(wanted) == "" {
		wanted = "*/*"
	}
	best, quality := "", -1.0
	for item := range strings.SplitSeq(wanted, ",") {
		media, parameters, err := mime.ParseMediaType(item)
		if err != nil {
			continue
		}
		q := 1.0
		if text, told := parameters["q"]; told {
			if q, err = strconv.ParseFloat(text, 64); err != nil {
				continue
			}
		}
		metadata := strings.ToLower(parameters["odata.metadata"] + parameters["metadata"])
		for _, form := range forms {
			kind, _, _ := strings.Cut(form, "/")
			if q > 0 && q > quality && metadata != "full" && (media == form || media == "*/*" || media == kind+"/*") {
				best, quality = form, q
				e.minimal = metadata != "none"
			}
		}
	}
	if best == "" {
		return fault(406, "NotAcceptable", "%s is what there is", strings.Join(forms, " or "))
	}
	e.format = best
	return nil
}

// choose finds what is to be done.
func (e *errand) choose() *odata.Error {
	forms := []string{"application/json"}
	switch e.resource.Kind {
	case odata.Collection:
		e.act = odata.List
	case odata.CountOf, odata.ValueOf:
		e.act = odata.Read
		if e.resource.Kind == odata.CountOf {
			e.act = odata.Count
		}
		forms = []string{"text/plain"}
	}
	switch e.question.verb {
	case "POST":
		e.act = odata.Create
	case "PATCH", "PUT":
		e.act = map[string]odata.Act{"PATCH": odata.Update, "PUT": odata.Replace}[e.question.verb]
		if e.resource.Set.Operations[odata.Upsert] != nil && e.question.fields.Text("if-match") == "" {
			e.act = odata.Upsert
		}
	case "DELETE":
		e.act = odata.Delete
	}
	return e.accepts(forms...)
}

// read takes the body of a write.
func (e *errand) read() (err *odata.Error) {
	e.key = e.resource.Key
	if !e.act.Writes() || e.act == odata.Delete {
		if len(e.question.body) > 0 {
			return fault(400, "BadRequest", "%s brings a body", e.question.verb)
		}
		return nil
	}
	media, parameters, failed := mime.ParseMediaType(e.question.fields.Text("content-type"))
	if failed != nil || media != "application/json" {
		return fault(415, "UnsupportedMediaType", "a body is application/json")
	}
	if charset := parameters["charset"]; charset != "" && !strings.EqualFold(charset, "utf-8") {
		return fault(415, "UnsupportedMediaType", "a body is in UTF-8")
	}
	set := e.resource.Set
	if e.values, err = set.Body(e.question.body, e.act == odata.Create); err != nil {
		return err
	}
	switch key, told := e.values[set.Key.Name]; {
	case e.act == odata.Create:
		e.key = key
	case told && odata.KeyOf(key) != odata.KeyOf(e.key):
		return fault(400, "BadRequest", "the key of the body is not the one of the path")
	default:
		e.values[set.Key.Name] = e.key
	}
	if e.act == odata.Replace || e.act == odata.Upsert && e.question.verb == "PUT" {
		for _, p := range set.Properties {
			if _, told := e.values[p.Name]; !told && !p.Nullable {
				return fault(400, "BadRequest", "%s is missing", p.Name)
			}
		}
	}
	return nil
}

// conditions reads what must hold of the version that is there.
func (e *errand) conditions() *odata.Error {
	fields := e.question.fields
	e.match, e.noneMatch = fields.Text("if-match"), fields.Text("if-none-match")
	if !e.act.Writes() {
		return nil
	}
	if e.noneMatch != "" {
		if e.noneMatch != "*" || e.act != odata.Update && e.act != odata.Replace && e.act != odata.Upsert {
			return odata.Missing("", "If-None-Match of a write but * on PUT and PATCH")
		}
		if e.match != "" {
			return fault(400, "BadRequest", "If-Match and If-None-Match together")
		}
		e.act = odata.Create
		if e.values, _ = e.resource.Set.Body(e.question.body, false); e.values != nil {
			e.values[e.resource.Set.Key.Name] = e.key
		}
	}
	if e.match != "" && e.act == odata.Create {
		return fault(400, "BadRequest", "If-Match of a create")
	}
	return nil
}

// place finds the group, by the key where the set is spread over several.
func (e *errand) place() *odata.Error {
	groups := e.resource.Set.Groups
	if e.act == odata.List || e.act == odata.Count {
		if len(groups) > 1 {
			return odata.Missing("", fmt.Sprintf("a collection over %d groups", len(groups)))
		}
		e.group = groups[0]
		return nil
	}
	e.group = groups[xxh3.HashString(e.key.Text)%uint64(len(groups))]
	return nil
}

// blanks refuses what the operation's statement has no place for; members that speak OData judge it themselves.
func (e *errand) blanks() *odata.Error {
	if e.form = e.front.clerk.FormOf(e.group); e.form == driver.Requests {
		return nil
	}
	r, s := &e.resource, e.operation.Statement
	switch {
	case r.Filter != nil && !s.Has("where"):
		return odata.Missing("$filter", "$filter on "+r.Set.Name)
	case len(r.Order) > 0 && !s.Has("order"):
		return odata.Missing("$orderby", "$orderby on "+r.Set.Name)
	case r.Count && e.act == odata.List && !s.Has("counted"):
		return odata.Missing("$count", "$count beside the items of "+r.Set.Name)
	}
	if e.act.Writes() && e.match != "" && e.match != "*" {
		version, ok := odata.VersionOf(e.match)
		if !ok || strings.Contains(e.match, ",") {
			return fault(400, "BadRequest", "If-Match %q is no tag of this service", e.match)
		}
		if !s.Has("match") || r.Set.ETag == nil {
			return odata.Missing("If-Match", "If-Match with a tag on "+odata.Names[e.act]+" of "+r.Set.Name)
		}
		e.version = version
	}
	if e.act.Writes() && (e.match == "" || e.match == "*") && s.Has("match") {
		return fault(428, "PreconditionRequired", "%s of %s wants If-Match with the version that is there", odata.Names[e.act], r.Set.Name)
	}
	return nil
}

// repeatable reads by what the request may be known again.
func (e *errand) repeatable() *odata.Error {
	fields := e.question.fields
	id, sent := fields.Text("repeatability-request-id"), fields.Text("repeatability-first-sent")
	if !e.act.Writes() || id == "" && sent == "" {
		return nil
	}
	if id == "" || sent == "" {
		return fault(400, "BadRequest", "Repeatability-Request-ID and Repeatability-First-Sent belong together")
	}
	client := fields.Text("repeatability-client-id")
	if len(id) > 128 || len(client) > 128 {
		return fault(400, "BadRequest", "a Repeatability-Request-ID or Repeatability-Client-ID of over 128 characters")
	}
	at, failed := http.ParseTime(sent)
	if failed != nil {
		return fault(400, "BadRequest", "Repeatability-First-Sent %q is no date", sent)
	}
	if !e.operation.Tokened && !e.operation.Repeats {
		return odata.Missing("", "a repeatable "+odata.Names[e.act]+" of "+e.resource.Set.Name)
	}
	e.repeatKey, e.repeatID = client+"\x00"+id, id
	e.firstSent = time.Duration(at.UnixNano())
	if millis := fields.Text("first-sent-ms"); millis != "" { // finer than a date
		n, failed := strconv.ParseInt(millis, 10, 64)
		if exact := time.Duration(n) * time.Millisecond; failed == nil && exact.Truncate(time.Second) == e.firstSent {
			e.firstSent = exact
		} else {
			return fault(400, "BadRequest", "First-Sent-Ms %q lies outside of its second", millis)
		}
	}
	return nil
}

const longest = time.Minute // that a client may ask to wait

// until tells how long the client waits: by Prefer: wait in seconds, by Deadline-Ms, else as long as its method may
// last.
func (f *Front) until(q *question, otherwise time.Duration) time.Duration {
	wait := otherwise
	if n, err := strconv.Atoi(preference(q.fields, "wait")); err == nil && n > 0 {
		wait = min(time.Duration(n)*time.Second, longest)
	}
	if n, err := strconv.Atoi(q.fields.Text("deadline-ms")); err == nil && n > 0 {
		wait = min(time.Duration(n)*time.Millisecond, longest)
	}
	return q.came + wait - front.Telling
}

// preference reads one of those in Prefer.
func preference(fields httpwire.Fields, wanted string) (value string) {
	fields.Each(func(name, text []byte) bool {
		if strings.EqualFold(string(name), "prefer") {
			for item := range strings.SplitSeq(string(text), ",") {
				item, _, _ = strings.Cut(item, ";")
				key, v, _ := strings.Cut(strings.TrimSpace(item), "=")
				key = strings.TrimPrefix(strings.ToLower(strings.TrimSpace(key)), "odata.")
				if key == wanted && value == "" {
					if value = strings.Trim(strings.TrimSpace(v), `"`); value == "" {
						value = "true"
					}
				}
			}
		}
		return true
	})
	return value
}
