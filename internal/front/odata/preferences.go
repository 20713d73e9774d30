package odata

import (
	"mime"
	"strconv"
	"strings"
	"time"

	"passtack/internal/front"
	"passtack/internal/httpwire"
	"passtack/internal/odata"
)

// negotiateFormat picks the offered media type that the client prefers. $format overrides Accept.
func (req *request) negotiateFormat(offered ...string) *odata.Error {
	wanted := req.http.fields.Text("accept")
	if short := req.resource.Format; short != "" {
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
		if text, found := parameters["q"]; found {
			if q, err = strconv.ParseFloat(text, 64); err != nil {
				continue
			}
		}
		metadata := strings.ToLower(parameters["odata.metadata"] + parameters["metadata"])
		for _, mediaType := range offered {
			kind, _, _ := strings.Cut(mediaType, "/")
			if q > 0 && q > quality && metadata != "full" && (media == mediaType || media == "*/*" || media == kind+"/*") {
				best, quality = mediaType, q
				req.minimalMetadata = metadata != "none"
			}
		}
	}
	if best == "" {
		return newError(406, "NotAcceptable", "%s is what there is", strings.Join(offered, " or "))
	}
	req.format = best
	return nil
}

// maxWait is the longest wait that a client can request.
const maxWait = time.Minute

// deadline returns the latest time for the response: DeliveryMargin before the client stops waiting. The client's
// wait is Deadline-Ms (milliseconds), else the preference wait (seconds), else defaultWait.
func (f *Front) deadline(httpReq *httpRequest, defaultWait time.Duration) time.Duration {
	wait := defaultWait
	if n, err := strconv.Atoi(preference(httpReq.fields, "wait")); err == nil && n > 0 {
		wait = min(time.Duration(n)*time.Second, maxWait)
	}
	if n, err := strconv.Atoi(httpReq.fields.Text("deadline-ms")); err == nil && n > 0 {
		wait = min(time.Duration(n)*time.Millisecond, maxWait)
	}
	return httpReq.receivedAt + wait - front.DeliveryMargin
}

// preference returns the value of a preference in Prefer, "true" if it has no value, "" if it is absent.
func preference(fields httpwire.Fields, name string) (value string) {
	fields.Each(func(field, text []byte) bool {
		if strings.EqualFold(string(field), "prefer") {
			for item := range strings.SplitSeq(string(text), ",") {
				item, _, _ = strings.Cut(item, ";")
				key, v, _ := strings.Cut(strings.TrimSpace(item), "=")
				key = strings.TrimPrefix(strings.ToLower(strings.TrimSpace(key)), "odata.")
				if key == name && value == "" {
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
