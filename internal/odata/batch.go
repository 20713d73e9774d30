package odata

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime"
	"mime/multipart"
	"strings"

	"passtack/internal/httpwire"
)

// Inner is one request of a batch.
type Inner struct {
	ID     string
	Verb   string
	Target string
	Fields httpwire.Fields
	Body   []byte
	Needs  []int  // earlier ones that it depends on or refers to
	Atom   string // its atomicity group, "" where it has none
	Fault  *Error // what cannot be read of it
}

// InnerAnswer is what became of one.
type InnerAnswer struct {
	Status int
	Fields []byte // lines of its head, the content type first
	Body   []byte
}

// Batch is what one client sent together.
type Batch struct {
	Items   []Inner
	Ordered bool
	JSON    bool
}

// BatchLimits bound a batch.
type BatchLimits struct {
	Items int
	HTTP  httpwire.Limits
}

const boundary = "batch-answer"

// ParseBatch reads a batch in either form.
func ParseBatch(contentType string, body []byte, limits BatchLimits) (b *Batch, err *Error) {
	media, parameters, failed := mime.ParseMediaType(contentType)
	switch {
	case failed != nil:
		return nil, &Error{415, "UnsupportedMediaType", "a batch is multipart/mixed or application/json", ""}
	case media == "application/json":
		b, err = jsonBatch(body, limits)
	case media == "multipart/mixed" && parameters["boundary"] != "":
		b, err = multipartBatch(parameters["boundary"], body, limits)
	default:
		return nil, &Error{415, "UnsupportedMediaType", "a batch is multipart/mixed or application/json", ""}
	}
	if err != nil {
		return nil, err
	}
	if len(b.Items) == 0 {
		return nil, bad("", "the batch is empty")
	}
	b.refer()
	b.refuseAtoms()
	return b, nil
}

func tooMany(limits BatchLimits) *Error {
	return &Error{413, "TooManyRequests", fmt.Sprintf("a batch holds at most %d requests", limits.Items), ""}
}

func jsonBatch(body []byte, limits BatchLimits) (*Batch, *Error) {
	var told struct {
		Requests []struct {
			ID        *string           `json:"id"`
			Atom      string            `json:"atomicityGroup"`
			DependsOn []string          `json:"dependsOn"`
			Method    string            `json:"method"`
			URL       string            `json:"url"`
			Headers   map[string]string `json:"headers"`
			Body      json.RawMessage   `json:"body"`
		} `json:"requests"`
	}
	if failed := json.Unmarshal(body, &told); failed != nil {
		return nil, bad("", "the batch is no JSON of that form")
	}
	b := &Batch{JSON: true}
	if len(told.Requests) > limits.Items {
		return nil, tooMany(limits)
	}
	for _, r := range told.Requests {
		if r.ID == nil || *r.ID == "" {
			return nil, bad("", "a request of the batch has no id")
		}
		if b.index(*r.ID) >= 0 {
			return nil, bad("", "the id %q stands there twice", *r.ID)
		}
		item := Inner{ID: *r.ID, Verb: strings.ToUpper(r.Method), Target: r.URL, Atom: r.Atom}
		for _, need := range r.DependsOn {
			found := false
			for i, o := range b.Items {
				if o.ID == need || o.Atom == need {
					item.Needs, found = append(item.Needs, i), true
				}
			}
			if !found {
				return nil, bad("", "%q depends on %q, which does not come before it", *r.ID, need)
			}
		}
		var fields []byte
		for name, value := range r.Headers {
			if strings.ContainsAny(name, ": \t\r\n") || name == "" || strings.ContainsAny(value, "\r\n\x00") {
				return nil, bad("", "%q has a header that cannot be", *r.ID)
			}
			fields = httpwire.AppendField(fields, name, value)
		}
		item.Fields = fields
		item.Body = r.Body
		if media := item.Fields.Text("content-type"); len(r.Body) > 0 && r.Body[0] == '"' && !isJSON(media) {
			var text string
			json.Unmarshal(r.Body, &text)
			item.Body = []byte(text)
		} else if media == "" && len(r.Body) > 0 {
			item.Fields = httpwire.AppendField(fields, "Content-Type", "application/json")
		}
		b.Items = append(b.Items, item)
	}
	return b, nil
}

func isJSON(media string) bool {
	media, _, _ = strings.Cut(media, ";")
	return media == "" || strings.EqualFold(strings.TrimSpace(media), "application/json")
}

func multipartBatch(edge string, body []byte, limits BatchLimits) (*Batch, *Error) {
	b := &Batch{Ordered: true}
	atoms := 0
	err := parts(edge, body, func(part *multipart.Part, text []byte) *Error {
		media, parameters, _ := mime.ParseMediaType(part.Header.Get("Content-Type"))
		if media != "multipart/mixed" {
			return b.part(part, text, "", limits)
		}
		atoms++
		if parameters["boundary"] == "" {
			return bad("", "a change set without a boundary")
		}
		return parts(parameters["boundary"], text, func(inner *multipart.Part, text []byte) *Error {
			return b.part(inner, text, fmt.Sprint("change set ", atoms), limits)
		})
	})
	return b, err
}

func parts(edge string, body []byte, each func(*multipart.Part, []byte) *Error) *Error {
	reader := multipart.NewReader(bytes.NewReader(body), edge)
	for {
		part, failed := reader.NextRawPart()
		if errors.Is(failed, io.EOF) {
			return nil
		}
		if failed != nil {
			return bad("", "the batch ends in the middle or has a part that cannot be read")
		}
		text, failed := io.ReadAll(part)
		if failed != nil {
			return bad("", "the batch ends in the middle or has a part that cannot be read")
		}
		if err := each(part, text); err != nil {
			return err
		}
	}
}

func (b *Batch) part(part *multipart.Part, text []byte, atom string, limits BatchLimits) *Error {
	if len(b.Items) >= limits.Items {
		return tooMany(limits)
	}
	media, _, _ := mime.ParseMediaType(part.Header.Get("Content-Type"))
	if media != "application/http" {
		return bad("", "a part of the batch is no application/http")
	}
	if coding := part.Header.Get("Content-Transfer-Encoding"); coding != "" && !strings.EqualFold(coding, "binary") {
		return bad("", "a part of the batch is not binary")
	}
	item := Inner{ID: part.Header.Get("Content-ID"), Atom: atom}
	if item.ID != "" && b.index(item.ID) >= 0 {
		return bad("", "the Content-ID %q stands there twice", item.ID)
	}
	r, fault := httpwire.Inner(text, limits.HTTP)
	if fault != nil {
		item.Fault = &Error{fault.Status, "BadRequest", fault.Reason, ""}
	}
	item.Verb, item.Target, item.Fields, item.Body = string(r.Verb), string(r.Target), r.Fields, r.Body
	b.Items = append(b.Items, item)
	return nil
}

func (b *Batch) index(id string) int {
	for i := range b.Items {
		if b.Items[i].ID == id {
			return i
		}
	}
	return -1
}

// Reference gives the request that a target refers to by its id, and what follows.
func (b *Batch) Reference(target string) (to int, rest string, ok bool) {
	if !strings.HasPrefix(target, "$") {
		return 0, "", false
	}
	end := strings.IndexAny(target, "/?")
	if end < 0 {
		end = len(target)
	}
	to = b.index(target[1:end])
	return to, target[end:], to >= 0 && target[1:end] != ""
}

// refer makes each request need what its target refers to.
func (b *Batch) refer() {
	for i := range b.Items {
		item := &b.Items[i]
		to, _, ok := b.Reference(item.Target)
		if !ok {
			continue
		}
		if to >= i || b.Items[to].Verb != "POST" {
			item.Fault = bad("", "%s refers to what creates nothing before it", item.Target)
			continue
		}
		item.Needs = append(item.Needs, to)
	}
}

// refuseAtoms turns away what would have to be done as one: members do one thing at a time. A group of one is no
// promise beyond its own.
func (b *Batch) refuseAtoms() {
	sizes := make(map[string]int)
	for _, item := range b.Items {
		sizes[item.Atom]++
	}
	for i := range b.Items {
		if item := &b.Items[i]; item.Atom != "" && sizes[item.Atom] > 1 && item.Fault == nil {
			item.Fault = Missing("", fmt.Sprintf("an atomicity group of %d requests, which members cannot do as one,", sizes[item.Atom]))
		}
	}
}

// Render writes the answers, one for each request in their order.
func (b *Batch) Render(answers []InnerAnswer) (contentType string, body []byte) {
	if !b.JSON {
		edge := boundary
		for _, a := range answers { // no value may end its part
			for bytes.Contains(a.Body, []byte(edge)) {
				edge += "-" + edge[:1]
			}
		}
		return "multipart/mixed; boundary=" + edge, b.renderParts(edge, answers)
	}
	out := []byte(`{"responses":[`)
	for i, a := range answers {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, '{')
		out = append(appendText(out, "id", b.Items[i].ID), ',')
		if atom := b.Items[i].Atom; atom != "" {
			out = append(appendText(out, "atomicityGroup", atom), ',')
		}
		out = fmt.Appendf(out, `"status":%d,"headers":{`, a.Status)
		first, media := true, ""
		httpwire.Fields(a.Fields).Each(func(name, value []byte) bool {
			if !first {
				out = append(out, ',')
			}
			if first = false; strings.EqualFold(string(name), "content-type") {
				media = string(value)
			}
			out = appendText(out, strings.ToLower(string(name)), string(value))
			return true
		})
		out = append(out, '}')
		switch {
		case len(a.Body) == 0:
		case isJSON(media):
			out = append(append(out, `,"body":`...), a.Body...)
		case strings.HasPrefix(media, "text/"):
			out = appendText(append(out, ','), "body", string(a.Body))
		default:
			out = appendText(append(out, ','), "body", base64.URLEncoding.EncodeToString(a.Body))
		}
		out = append(out, '}')
	}
	return "application/json", append(out, `]}`...)
}

func (b *Batch) renderParts(whole string, answers []InnerAnswer) (out []byte) {
	line := func(text string) { out = append(append(out, text...), "\r\n"...) }
	edge := func(name, end string) { line("--" + name + end) }
	for i, a := range answers {
		atom := b.Items[i].Atom
		opens := atom != "" && (i == 0 || b.Items[i-1].Atom != atom)
		closes := atom != "" && (i == len(answers)-1 || b.Items[i+1].Atom != atom)
		name := whole
		if atom != "" {
			name += "-" + strings.ReplaceAll(atom, " ", "-")
		}
		if opens {
			edge(whole, "")
			line("Content-Type: multipart/mixed; boundary=" + name)
			line("")
		}
		edge(name, "")
		line("Content-Type: application/http")
		line("Content-Transfer-Encoding: binary")
		if id := b.Items[i].ID; id != "" {
			out = httpwire.AppendField(out, "Content-ID", id)
		}
		line("")
		out = append(httpwire.AppendStatus(out, a.Status), a.Fields...)
		out = httpwire.AppendLength(out, len(a.Body))
		line(string(a.Body))
		if closes {
			edge(name, "--")
		}
	}
	edge(whole, "--")
	return out
}
