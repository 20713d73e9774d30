package odata

import (
	"encoding/json"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/config"
	"passtack/internal/httpwire"
	"passtack/internal/pcg"
	"passtack/internal/pgwire"
)

// statementHandler is the RPCHandler of a driver whose members all accept statements.
type statementHandler struct{ driver.RPCHandler }

func (statementHandler) FormOf(driver.Group) driver.Form { return driver.Statements }

func newTestFront(t testing.TB) *Front {
	text, err := os.ReadFile("../../../deploy/passtack.hcl")
	if err != nil {
		t.Fatal(err)
	}
	f, err := config.Parse(text, "passtack.hcl", netip.MustParseAddrPort("127.0.0.1:1"), []config.Method{
		{Name: "status-read", Need: "bounded", Idempotent: true, SoftDeadline: time.Second}, {Name: "own-read", Need: "session", Idempotent: true},
		{Name: "apply-write", Need: "write", HasIdempotencyKey: true, Window: time.Second},
	})
	if err != nil {
		t.Fatal(err)
	}
	return &Front{handler: statementHandler{}, config: f.Listeners[1].OData, methods: []string{"status-read", "own-read", "apply-write"}, random: pcg.New(1)}
}

// Guards against misread preferences and media types, such as a repeated preference or a media type of quality 0.
func TestPreferencesAndFormats(t *testing.T) {
	fields := httpwire.Fields("Prefer: respond-async, odata.continue-on-error; x=y\r\nPREFER: wait=7 , return=\"minimal\", wait=9\r\n")
	for name, want := range map[string]string{"wait": "7", "return": "minimal", "continue-on-error": "true", "nothing": ""} {
		if got := preference(fields, name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	f := newTestFront(t)
	for accept, want := range map[string]string{
		"": "application/json", "*/*": "application/json", "text/html, application/json;q=0.5": "application/json", "application/*": "application/json",
		"application/json;odata.metadata=full": "", "application/json;q=0": "", "text/html": "", "nonsense;;": "", "application/json;q=x": "",
	} {
		req, immediate := f.validate(&httpRequest{verb: "GET", target: "/odata/Applications('a')", fields: httpwire.AppendField(nil, "Accept", accept)})
		if want == "" && (immediate == nil || immediate.status != 406) || want != "" && (req == nil || req.format != want) {
			t.Errorf("Accept %q: %v, %v", accept, req, immediate)
		}
	}
	if req, immediate := f.validate(&httpRequest{verb: "GET", target: "/odata/Applications('a')", fields: httpwire.Fields("Accept: application/json;odata.metadata=none\r\n")}); immediate != nil || req.minimalMetadata {
		t.Errorf("odata.metadata=none gives control information, or an error: %v", immediate)
	}
}

// Guards against clients that inject text into a statement by way of header fields, target or body: the statement sent to a
// member has one comment with the front's own fields, each at most once. Validation must not panic, and errors are JSON.
func FuzzHeaders(f *testing.F) {
	f.Add("POST", "/odata/Applications", "Content-Type: application/json\r\nRepeatability-Request-ID: a*/ b,k=c\r\nRepeatability-First-Sent: Tue, 01 Dec 2026 10:00:00 GMT\r\n", `{"Id":"x"}`)
	f.Add("PATCH", "/odata/Applications('a')", "Content-Type: application/json\r\nIf-Match: W/\"x\"\r\nPrefer: return=minimal\r\n", `{"Status":"*/"}`)
	f.Add("GET", "/odata/Applications?$filter=Status%20eq%20'*/'", "Session-Position: 99999999999999999999\r\nSession-Id: */\r\nAccept: */*;q=1\r\n", "")
	f.Add("GET", "/odata/Applications('a')", "Repeatability-Client-ID: ,\r\nOData-MaxVersion: NaN\r\nDeadline-Ms: -1\r\n", "")
	front := newTestFront(f)
	f.Fuzz(func(t *testing.T, verb, target, fields, body string) {
		r, fault := httpwire.Next([]byte("GET / HTTP/1.1\r\nHost: x\r\n"+fields+"\r\n"), httpwire.Limits{Target: 100, Head: 4000, Fields: 50, Body: 100})
		if fault != nil || r.Size == 0 {
			return
		}
		httpReq := &httpRequest{verb: verb, target: target, fields: r.Fields, body: []byte(body)}
		req, immediate := front.validate(httpReq)
		if immediate != nil {
			if immediate.status >= 400 && !json.Valid(immediate.body) {
				t.Fatalf("%d with %q", immediate.status, immediate.body)
			}
			return
		}
		if req.operation == nil { // a batch
			return
		}
		token := ""
		if req.idempotencyKey != "" {
			token = idempotencyToken(req.idempotencyKey, req.repeatabilityID)
		}
		req.id = "0123"
		req.encode(req.operation.Method, token, time.Hour)
		text := string(req.memberRequest.Before) + "100" + string(req.memberRequest.After)
		if strings.IndexByte(text, 0) >= 0 || !strings.HasPrefix(text, "/* id=0123,c=") {
			t.Fatalf("%q", text)
		}
		names := make(map[string]int)
		rest, ok := pgwire.Comment([]byte(text), func(name, _ []byte, _, _ int) { names[string(name)]++ })
		for name, count := range names {
			if count != 1 || !strings.Contains(" id c d k cluster after ", " "+name+" ") {
				t.Fatalf("%s occurs %d times in %q", name, count, text)
			}
		}
		first, _, _ := strings.Cut(string(rest), " ")
		if !ok || !strings.Contains(" SELECT INSERT UPDATE DELETE ", " "+first+" ") {
			t.Fatalf("the statement is %q", rest)
		}
	})
}
