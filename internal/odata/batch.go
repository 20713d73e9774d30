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
	"slices"
	"strconv"
	"strings"

	"passtack/internal/httpwire"
)

// BatchRequest is one request of a batch.
type BatchRequest struct {
	ID             string
	Verb           string
	Target         string
	Fields         httpwire.Fields
	Body           []byte
	DependsOn      []int  // indexes of the earlier requests that this one depends on or refers to
	AtomicityGroup string // "" without a group
	Fault          *Error // reason why the request cannot run, or nil
}

// BatchAnswer is the answer to one request of a batch.
type BatchAnswer struct {
	Status int
	Fields []byte // header lines, the content type first
	Body   []byte
}

// Batch is a parsed batch.
type Batch struct {
	Items   []BatchRequest
	Ordered bool
	JSON    bool
}

// BatchLimits bound the size of a batch.
type BatchLimits struct {
	Items int
	HTTP  httpwire.Limits
}

const answerBoundary = "batch-answer"

// ParseBatch parses a batch in either format, JSON or multipart.
func ParseBatch(contentType string, body []byte, limits BatchLimits) (b *Batch, err *Error) {
	media, parameters, parseErr := mime.ParseMediaType(contentType)
	switch {
	case parseErr != nil:
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
		return nil, badRequest("", "the batch is empty")
	}
	b.resolveReferences()
	b.rejectAtomicityGroups()
	return b, nil
}

func tooManyRequests(limits BatchLimits) *Error {
	return &Error{413, "TooManyRequests", fmt.Sprintf("a batch holds at most %d requests", limits.Items), ""}
}

// jsonBatch parses a batch in the JSON format.
func jsonBatch(body []byte, limits BatchLimits) (*Batch, *Error) {
	var input struct {
		Requests []struct {
			ID             *string           `json:"id"`
			AtomicityGroup string            `json:"atomicityGroup"`
			DependsOn      []string          `json:"dependsOn"`
			Method         string            `json:"method"`
			URL            string            `json:"url"`
			Headers        map[string]string `json:"headers"`
			Body           json.RawMessage   `json:"body"`
		} `json:"requests"`
	}
	if parseErr := json.Unmarshal(body, &input); parseErr != nil {
		return nil, badRequest("", "the batch is no JSON of that form")
	}
	b := &Batch{JSON: true}
	if len(input.Requests) > limits.Items {
		return nil, tooManyRequests(limits)
	}
	for _, r := range input.Requests {
		if r.ID == nil || *r.ID == "" {
			return nil, badRequest("", "a request of the batch has no id")
		}
		if b.indexOf(*r.ID) >= 0 {
			return nil, badRequest("", "the id %q stands there twice", *r.ID)
		}
		item := BatchRequest{ID: *r.ID, Verb: strings.ToUpper(r.Method), Target: r.URL, AtomicityGroup: r.AtomicityGroup}
		var err *Error
		if item.DependsOn, err = b.dependencies(*r.ID, r.DependsOn); err != nil {
			return nil, err
		}
		var fields []byte
		for name, value := range r.Headers {
			if strings.ContainsAny(name, ": \t\r\n") || name == "" || strings.ContainsAny(value, "\r\n\x00") {
				return nil, badRequest("", "%q has a header that cannot be", *r.ID)
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

// dependencies returns the indexes of the earlier requests that a request names by their ids or groups, each once and in order.
func (b *Batch) dependencies(id string, names []string) (indexes []int, err *Error) {
	if len(names) > 2*len(b.Items) { // an id and a group for each
		return nil, badRequest("", "%q depends on %d requests and groups, more than come before it", id, len(names))
	}
	needed := make([]bool, len(b.Items))
	for _, name := range names {
		found := false
		for i, o := range b.Items {
			if name != "" && (o.ID == name || o.AtomicityGroup == name) {
				needed[i], found = true, true
			}
		}
		if !found {
			return nil, badRequest("", "%q depends on %q, which does not come before it", id, name)
		}
	}
	for i := range needed {
		if needed[i] {
			indexes = append(indexes, i)
		}
	}
	return indexes, nil
}

func isJSON(media string) bool {
	media, _, _ = strings.Cut(media, ";")
	return media == "" || strings.EqualFold(strings.TrimSpace(media), "application/json")
}

// multipartBatch parses a batch in the multipart format. Each change set becomes an atomicity group.
func multipartBatch(boundary string, body []byte, limits BatchLimits) (*Batch, *Error) {
	b := &Batch{Ordered: true}
	changeSets := 0
	err := eachPart(boundary, body, func(part *multipart.Part, text []byte) *Error {
		media, parameters, _ := mime.ParseMediaType(part.Header.Get("Content-Type"))
		if media != "multipart/mixed" {
			return b.addPart(part, text, "", limits)
		}
		changeSets++
		if parameters["boundary"] == "" {
			return badRequest("", "a change set without a boundary")
		}
		return eachPart(parameters["boundary"], text, func(inner *multipart.Part, text []byte) *Error {
			return b.addPart(inner, text, fmt.Sprint("change set ", changeSets), limits)
		})
	})
	return b, err
}

// eachPart calls each with the header and the text of every part of a multipart body.
func eachPart(boundary string, body []byte, each func(*multipart.Part, []byte) *Error) *Error {
	reader := multipart.NewReader(bytes.NewReader(body), boundary)
	for {
		part, readErr := reader.NextRawPart()
		if errors.Is(readErr, io.EOF) {
			return nil
		}
		if readErr != nil {
			return badRequest("", "the batch ends in the middle or has a part that cannot be read")
		}
		text, readErr := io.ReadAll(part)
		if readErr != nil {
			return badRequest("", "the batch ends in the middle or has a part that cannot be read")
		}
		if err := each(part, text); err != nil {
			return err
		}
	}
}

// addPart parses one part of a multipart batch and adds its request to the batch.
func (b *Batch) addPart(part *multipart.Part, text []byte, group string, limits BatchLimits) *Error {
	if len(b.Items) >= limits.Items {
		return tooManyRequests(limits)
	}
	media, _, _ := mime.ParseMediaType(part.Header.Get("Content-Type"))
	if media != "application/http" {
		return badRequest("", "a part of the batch is no application/http")
	}
	if coding := part.Header.Get("Content-Transfer-Encoding"); coding != "" && !strings.EqualFold(coding, "binary") {
		return badRequest("", "a part of the batch is not binary")
	}
	item := BatchRequest{ID: part.Header.Get("Content-ID"), AtomicityGroup: group}
	if item.ID != "" && b.indexOf(item.ID) >= 0 {
		return badRequest("", "the Content-ID %q stands there twice", item.ID)
	}
	r, fault := httpwire.ParsePart(text, limits.HTTP)
	if fault != nil {
		item.Fault = &Error{fault.Status, "BadRequest", fault.Reason, ""}
	}
	item.Verb, item.Target, item.Fields, item.Body = string(r.Verb), string(r.Target), r.Fields, r.Body
	b.Items = append(b.Items, item)
	return nil
}

func (b *Batch) indexOf(id string) int {
	for i := range b.Items {
		if b.Items[i].ID == id {
			return i
		}
	}
	return -1
}

// Reference returns the index of the request that a target such as $1/Status refers to by its id, and the rest of the target.
func (b *Batch) Reference(target string) (index int, rest string, ok bool) {
	if !strings.HasPrefix(target, "$") {
		return 0, "", false
	}
	end := strings.IndexAny(target, "/?")
	if end < 0 {
		end = len(target)
	}
	index = b.indexOf(target[1:end])
	return index, target[end:], index >= 0 && target[1:end] != ""
}

// resolveReferences adds the request that a target refers to as a dependency.
func (b *Batch) resolveReferences() {
	for i := range b.Items {
		item := &b.Items[i]
		index, _, ok := b.Reference(item.Target)
		if !ok {
			continue
		}
		if index >= i || b.Items[index].Verb != "POST" {
			item.Fault = badRequest("", "%s refers to what creates nothing before it", item.Target)
			continue
		}
		item.DependsOn = append(item.DependsOn, index)
	}
}

// rejectAtomicityGroups rejects the requests of atomicity groups, since members cannot run several requests atomically. A
// group of one request is atomic anyway and is accepted.
func (b *Batch) rejectAtomicityGroups() {
	sizes := make(map[string]int)
	for _, item := range b.Items {
		sizes[item.AtomicityGroup]++
	}
	for i := range b.Items {
		if item := &b.Items[i]; item.AtomicityGroup != "" && sizes[item.AtomicityGroup] > 1 && item.Fault == nil {
			item.Fault = NotOffered("", fmt.Sprintf("an atomicity group of %d requests, which members cannot do as one,", sizes[item.AtomicityGroup]))
		}
	}
}

// Render encodes the answers, one for each request in order.
func (b *Batch) Render(answers []BatchAnswer) (contentType string, body []byte) {
	if !b.JSON {
		boundary := boundaryFor(answers)
		return "multipart/mixed; boundary=" + boundary, b.renderParts(boundary, answers)
	}
	out := []byte(`{"responses":[`)
	for i, a := range answers {
		if i > 0 {
			out = append(out, ',')
		}
		out = append(out, '{')
		out = append(appendText(out, "id", b.Items[i].ID), ',')
		if group := b.Items[i].AtomicityGroup; group != "" {
			out = append(appendText(out, "atomicityGroup", group), ',')
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

// boundaryDigits is the number of digits of a numbered boundary. It has more values than bodies can hold.
const boundaryDigits = 9

// boundaryFor returns a boundary that occurs in no body: the usual one, or that and the lowest number that follows it in none.
func boundaryFor(answers []BatchAnswer) string {
	occurrences := 0
	for _, a := range answers {
		occurrences += bytes.Count(a.Body, []byte(answerBoundary))
	}
	if occurrences == 0 {
		return answerBoundary
	}
	used := make([]bool, occurrences+1) // one of these numbers is free
	for _, a := range answers {
		markNumbers(a.Body, used)
	}
	return fmt.Sprintf("%s-%0*d", answerBoundary, boundaryDigits, slices.Index(used, false))
}

// markNumbers marks the numbers that follow the usual boundary in a body.
func markNumbers(body []byte, used []bool) {
	_, rest, found := bytes.Cut(body, []byte(answerBoundary))
	for ; found; _, rest, found = bytes.Cut(rest, []byte(answerBoundary)) {
		if len(rest) <= boundaryDigits || rest[0] != '-' {
			continue
		}
		if n, err := strconv.ParseUint(string(rest[1:1+boundaryDigits]), 10, 32); err == nil && n < uint64(len(used)) {
			used[n] = true
		}
	}
}

func (b *Batch) renderParts(boundary string, answers []BatchAnswer) (out []byte) {
	line := func(text string) { out = append(append(out, text...), "\r\n"...) }
	writeDelimiter := func(name, end string) { line("--" + name + end) }
	for i, a := range answers {
		group := b.Items[i].AtomicityGroup
		opens := group != "" && (i == 0 || b.Items[i-1].AtomicityGroup != group)
		closes := group != "" && (i == len(answers)-1 || b.Items[i+1].AtomicityGroup != group)
		name := boundary
		if group != "" {
			name += "-" + strings.ReplaceAll(group, " ", "-")
		}
		if opens {
			writeDelimiter(boundary, "")
			line("Content-Type: multipart/mixed; boundary=" + name)
			line("")
		}
		writeDelimiter(name, "")
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
			writeDelimiter(name, "--")
		}
	}
	writeDelimiter(boundary, "--")
	return out
}
