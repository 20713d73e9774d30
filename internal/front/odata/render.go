package odata

import (
	"strconv"
	"strings"
	"time"

	"passtack/driver"
	"passtack/internal/httpwire"
	"passtack/internal/odata"
)

// broken is what the client hears where a member's value is not what the metadata promises.
func broken() *reply {
	return failure(fault(500, "BrokenValue", "a member answered with what is no such resource"))
}

// render makes the answer out of what a member gave.
func (f *Front) render(e *errand, a *driver.Answer) *reply {
	var r *reply
	if a.Form == driver.Requests {
		r = f.passOn(e, a)
	} else {
		r = f.fromValue(e, a.Value)
	}
	if e.act.Writes() && a.Position > 0 && r.status < 300 {
		r.fields = httpwire.AppendField(r.fields, "Session-Position", strconv.FormatInt(int64(a.Position/time.Millisecond), 10))
	}
	return r
}

// passed are the fields of a member's answer that its client gets too.
var passed = []string{"Content-Type", "ETag", "Preference-Applied", "Allow"}

// passOn hands the answer of a member that speaks OData on. Its body stays as it is.
func (f *Front) passOn(e *errand, a *driver.Answer) *reply {
	r := &reply{status: a.Status, body: append([]byte(nil), a.Value...)}
	fields := httpwire.Fields(a.Fields)
	for _, name := range passed {
		if value := fields.Text(name); value != "" {
			r.fields = httpwire.AppendField(r.fields, name, value)
		}
	}
	if e.act == odata.Create && a.Status < 300 {
		r.fields = f.location(r.fields, e, e.key, a.Status == 204)
	}
	return r
}

// location tells where a new entity is.
func (f *Front) location(fields []byte, e *errand, key odata.Value, withID bool) []byte {
	at := f.offer.Root + e.resource.Set.Name + "(" + odata.Encode(odata.KeyOf(key)) + ")"
	fields = httpwire.AppendField(fields, "Location", at)
	if withID {
		fields = httpwire.AppendField(fields, "OData-EntityId", at)
	}
	return fields
}

// fromValue renders the value that a statement gave.
func (f *Front) fromValue(e *errand, value []byte) *reply {
	if e.act.Writes() {
		return f.written(e, value)
	}
	res, root := &e.resource, f.offer.Root
	json := httpwire.AppendField(nil, "Content-Type", "application/json;odata.metadata="+map[bool]string{true: "minimal", false: "none"}[e.minimal])
	plain := httpwire.AppendField(nil, "Content-Type", "text/plain")
	switch {
	case e.act == odata.Count:
		if n, err := strconv.ParseUint(strings.TrimSpace(string(value)), 10, 63); err == nil {
			return &reply{200, plain, strconv.AppendUint(nil, n, 10)}
		}
		return broken()
	case e.act == odata.List:
		body, ok := res.CollectionBody(value, root, e.limit(), e.minimal, e.next())
		if !ok {
			return broken()
		}
		return &reply{200, json, body}
	case odata.Nothing(value):
		return failure(fault(404, "NotFound", "there is no such entity"))
	}
	whole, ok := res.EntityBody(value, root, e.minimal)
	if !ok {
		return broken()
	}
	tag := res.Set.ETagOf(value)
	if r := e.unchanged(tag); r != nil {
		return r
	}
	switch res.Kind {
	case odata.PropertyOf, odata.ValueOf:
		body, null, ok := res.PropertyBody(value, root, e.minimal, res.Kind == odata.ValueOf)
		if !ok {
			return broken()
		}
		r := &reply{200, json, body}
		if res.Kind == odata.ValueOf {
			r.fields = plain
		}
		if null {
			r = &reply{status: 204}
		}
		return tagged(r, tag)
	}
	return tagged(&reply{200, json, whole}, tag)
}

func tagged(r *reply, tag string) *reply {
	if tag != "" {
		r.fields = httpwire.AppendField(r.fields, "ETag", tag)
	}
	return r
}

// unchanged answers a read by what its client knows already.
func (e *errand) unchanged(tag string) *reply {
	listed := func(tags string) bool {
		for one := range strings.SplitSeq(tags, ",") {
			if one = strings.TrimSpace(one); one == "*" || one == tag && tag != "" {
				return true
			}
		}
		return false
	}
	if e.match != "" && !listed(e.match) {
		return failure(fault(412, "PreconditionFailed", "the entity has another version"))
	}
	if e.noneMatch != "" && listed(e.noneMatch) {
		return tagged(&reply{status: 304}, tag)
	}
	return nil
}

// next is the target of the page behind this one, "" where the client wants no more than this.
func (e *errand) next() string {
	r := &e.resource
	left := -1
	if r.Top >= 0 {
		if left = r.Top - e.limit(); left <= 0 {
			return ""
		}
	}
	target, query, _ := strings.Cut(e.question.target, "?")
	var kept []string
	for part := range strings.SplitSeq(query, "&") {
		name, _, _ := strings.Cut(part, "=")
		name = strings.TrimPrefix(strings.ReplaceAll(name, "%24", "$"), "$")
		if part != "" && name != "skip" && name != "top" {
			kept = append(kept, part)
		}
	}
	kept = append(kept, "$skip="+strconv.Itoa(r.Skip+e.limit()))
	if left > 0 {
		kept = append(kept, "$top="+strconv.Itoa(left))
	}
	return target + "?" + strings.Join(kept, "&")
}

// written renders what a write gave: the entity as it is now, or something that only tells that it was done.
func (f *Front) written(e *errand, value []byte) *reply {
	res := &e.resource
	if odata.Nothing(value) {
		switch {
		case e.act == odata.Create:
			return failure(fault(409, "Conflict", "there is an entity of this key"))
		case e.version != "":
			return failure(fault(412, "PreconditionFailed", "the entity has another version, or is gone"))
		}
		return failure(fault(404, "NotFound", "there is no such entity"))
	}
	if e.act == odata.Delete {
		return &reply{status: 204}
	}
	body, isEntity := res.EntityBody(value, f.offer.Root, e.minimal)
	key, hasKey := res.Set.KeyIn(value)
	if !hasKey {
		key = e.key
	}
	tag := ""
	if isEntity {
		tag = res.Set.ETagOf(value)
	}
	created := e.act == odata.Create
	if wants := isEntity && (e.returns == "representation" || created && e.returns != "minimal"); wants {
		r := &reply{status: 200, body: body}
		r.fields = httpwire.AppendField(nil, "Content-Type", "application/json;odata.metadata="+map[bool]string{true: "minimal", false: "none"}[e.minimal])
		if created {
			r.status, r.fields = 201, f.location(r.fields, e, key, false)
		}
		if e.returns != "" {
			r.fields = httpwire.AppendField(r.fields, "Preference-Applied", "return=representation")
		}
		return tagged(r, tag)
	}
	r := &reply{status: 204}
	if created {
		r.fields = f.location(nil, e, key, true)
	}
	if e.returns != "representation" && e.returns != "" {
		r.fields = httpwire.AppendField(r.fields, "Preference-Applied", "return=minimal")
	}
	return tagged(r, tag)
}
