package odata

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"mime"
	"mime/multipart"
	"slices"
	"strings"
	"testing"
	"time"

	"passtack/internal/httpwire"
)

var batchLimits = BatchLimits{10, httpwire.Limits{Target: 500, Head: 2000, Fields: 20, Body: 10000}}

func withCRLF(text string) []byte { return []byte(strings.ReplaceAll(text, "\n", "\r\n")) }

const mixed = `--b
Content-Type: application/http

GET Applications('a') HTTP/1.1
Accept: application/json


--b
Content-Type: multipart/mixed; boundary=c

--c
Content-Type: application/http
Content-Transfer-Encoding: binary
Content-ID: new

POST Applications HTTP/1.1
Content-Type: application/json
Content-Length: 10

{"Id":"x"}
--c--
--b
Content-Type: application/http

GET $new/Status HTTP/1.1

--b--
`

func TestParseBatchInBothFormats(t *testing.T) {
	b, err := ParseBatch("multipart/mixed; boundary=b", withCRLF(mixed), batchLimits)
	if err != nil {
		t.Fatal(err)
	}
	if len(b.Items) != 3 || !b.Ordered || string(b.Items[1].Body) != `{"Id":"x"}` || b.Items[1].AtomicityGroup == "" ||
		fmt.Sprint(b.Items[2].DependsOn) != "[1]" || b.Items[2].Fault != nil || b.Items[0].Fault != nil {
		t.Errorf("parsed as %+v", b.Items)
	}
	if index, rest, ok := b.Reference("$new/Status"); !ok || index != 1 || rest != "/Status" {
		t.Errorf("the reference gives request %d, %q", index, rest)
	}
	j, err := ParseBatch("application/json; charset=utf-8", []byte(`{"requests":[
{"id":"0","method":"get","url":"Applications('a')"},
{"id":"1","method":"post","url":"Applications","atomicityGroup":"g","headers":{"prefer":"return=minimal"},"body":{"Id":"x"}},
{"id":"2","method":"get","url":"$1/Status","dependsOn":["0","g"]}]}`), batchLimits)
	if err != nil {
		t.Fatal(err)
	}
	if len(j.Items) != 3 || j.Ordered || j.Items[0].Verb != "GET" || j.Items[1].Fields.Text("Content-Type") != "application/json" ||
		fmt.Sprint(j.Items[2].DependsOn) != "[0 1 1]" {
		t.Errorf("parsed as %+v", j.Items)
	}
}

// Every request of an atomicity group with more than one request is rejected, since members cannot run them atomically.
func TestAtomicityGroupsAreRejected(t *testing.T) {
	b, err := ParseBatch("application/json", []byte(`{"requests":[
{"id":"0","method":"post","url":"Applications","atomicityGroup":"g","body":{}},
{"id":"1","method":"get","url":"Applications"},
{"id":"2","method":"post","url":"Applications","atomicityGroup":"g","body":{}},
{"id":"3","method":"post","url":"Applications","atomicityGroup":"h","body":{}}]}`), batchLimits)
	if err != nil {
		t.Fatal(err)
	}
	for i, rejected := range []bool{true, false, true, false} {
		if f := b.Items[i].Fault; f != nil != rejected || rejected && f.Status != 501 {
			t.Errorf("item %d: %v", i, f)
		}
	}
}

func TestMalformedBatches(t *testing.T) {
	many := `{"requests":[` + strings.Repeat(`{"id":"%d","method":"get","url":"x"},`, 11)
	for i := range 11 {
		many = strings.Replace(many, "%d", fmt.Sprint(i), 1)
	}
	for _, c := range []struct {
		media, body string
		want        int
	}{
		{"application/json", `{"requests":[]}`, 400}, {"application/json", `{`, 400}, {"application/json", `[]`, 400},
		{"application/json", `{"requests":[{"method":"get","url":"x"}]}`, 400},
		{"application/json", `{"requests":[{"id":"1","method":"get","url":"x"},{"id":"1","method":"get","url":"x"}]}`, 400},
		{"application/json", `{"requests":[{"id":"1","method":"get","url":"x","dependsOn":["1"]}]}`, 400},
		{"application/json", `{"requests":[{"id":"1","method":"get","url":"x","dependsOn":["2"]},{"id":"2","method":"get","url":"x"}]}`, 400},
		{"application/json", `{"requests":[{"id":"1","method":"get","url":"x","headers":{"a\r\nb":"c"}}]}`, 400},
		{"application/json", `{"requests":[{"id":"1","method":"get","url":"x","headers":{"a":"c\r\nHost: y"}}]}`, 400},
		{"application/json", strings.TrimSuffix(many, ",") + "]}", 413},
		{"text/plain", "x", 415}, {"multipart/mixed", "x", 415}, {"", "x", 415},
		{"multipart/mixed; boundary=b", "nothing", 400}, {"multipart/mixed; boundary=b", mixed[:len(mixed)-8], 400},
		{"multipart/mixed; boundary=b", strings.Replace(mixed, "application/http", "text/plain", 1), 400},
		{"multipart/mixed; boundary=b", strings.Replace(mixed, "boundary=c", "", 1), 400},
	} {
		if b, err := ParseBatch(c.media, withCRLF(c.body), batchLimits); err == nil || err.Status != c.want {
			t.Errorf("%s, %.60q: %v, %v", c.media, c.body, b, err)
		}
	}
	b, err := ParseBatch("multipart/mixed; boundary=b", withCRLF(strings.Replace(mixed, "Content-Length: 10", "Content-Length: 99", 1)), batchLimits)
	if err != nil || b.Items[1].Fault == nil || b.Items[0].Fault != nil {
		t.Errorf("a malformed part: %v, %+v", err, b)
	}
}

// Guards against lists that grow with the square of a batch: a request names the same others, or nothing, tens of thousands of times.
func TestDependenciesAreListedOnce(t *testing.T) {
	parse := func(names ...string) (*Batch, *Error) {
		encoded, err := json.Marshal(names)
		if err != nil {
			t.Fatal(err)
		}
		body := `{"requests":[{"id":"a","method":"get","url":"x"},{"id":"b","atomicityGroup":"g","method":"get","url":"x"},{"id":"c","method":"get","url":"x","dependsOn":` + string(encoded) + `}]}`
		return ParseBatch("application/json", []byte(body), batchLimits)
	}
	for _, names := range [][]string{{"b", "a", "b"}, {"g", "a", "g", "b"}} {
		if b, err := parse(names...); err != nil || !slices.Equal(b.Items[2].DependsOn, []int{0, 1}) {
			t.Errorf("%v: %+v, %v", names, b, err)
		}
	}
	for name, names := range map[string][]string{
		"the empty text": {""}, "the empty text very often": slices.Repeat([]string{""}, 10_000), "one very often": slices.Repeat([]string{"a"}, 10_000), "itself": {"c"},
	} {
		if _, err := parse(names...); err == nil || err.Status != 400 {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// Guards against a search for a boundary that takes longer with each piece of it that a body holds, while all others wait.
func TestBoundariesAreFoundInOneGo(t *testing.T) {
	const limit = 2 * time.Second // hundreds of times what one look at each body takes
	answer := func(body string) BatchAnswer { return BatchAnswer{Status: 200, Body: []byte(body)} }
	for name, body := range map[string]string{
		"none":            "text",
		"the usual one":   answerBoundary,
		"numbered ones":   answerBoundary + "-000000000" + answerBoundary + "-000000001 " + answerBoundary + "-000000003",
		"cut off":         answerBoundary + "-00000000",
		"no numbers":      answerBoundary + "--00000000 " + answerBoundary + "-+00000000",
		"longer and more": strings.Repeat("batch-answer-b-b-c", 10_000) + "batch-answer" + strings.Repeat("-b", 100_000),
	} {
		began := time.Now()
		boundary := boundaryFor([]BatchAnswer{answer(body), answer("x")})
		if took := time.Since(began); strings.Contains(body, boundary) || !strings.HasPrefix(boundary, answerBoundary) || took > limit || len(boundary) > 70 {
			t.Errorf("%s: %.100s after %v", name, boundary, took)
		}
	}
}

func TestRenderInBothFormats(t *testing.T) {
	b, _ := ParseBatch("multipart/mixed; boundary=b", withCRLF(mixed), batchLimits)
	answers := []BatchAnswer{
		{200, []byte("Content-Type: application/json\r\n"), []byte(`{"a":1}`)}, {204, nil, nil},
		{200, []byte("Content-Type: text/plain\r\n"), []byte("x\r\n--batch-answer--")},
	}
	media, body := b.Render(answers)
	_, parameters, _ := mime.ParseMediaType(media)
	r := multipart.NewReader(bytes.NewReader(body), parameters["boundary"])
	var got []string
	for {
		part, err := r.NextRawPart()
		if err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(part)
		got = append(got, part.Header.Get("Content-Type")+" "+string(text[:min(len(text), 20)]))
	}
	if len(got) != 3 || !strings.HasPrefix(got[0], "application/http HTTP/1.1 200 OK") || !strings.HasPrefix(got[1], "multipart/mixed; ") {
		t.Errorf("%q", got)
	}
	b.JSON = true
	var decoded struct {
		Responses []struct {
			ID     string
			Status int
			Body   any
		}
	}
	_, body = b.Render(answers)
	if err := json.Unmarshal(body, &decoded); err != nil || len(decoded.Responses) != 3 || decoded.Responses[2].Body != "x\r\n--batch-answer--" || decoded.Responses[1].ID != "new" {
		t.Errorf("%v: %s", err, body)
	}
}

// Checks for any input that nothing panics, that a batch has at most the allowed number of requests, that each depends only on
// earlier ones, and that the answers can be rendered.
func FuzzBatch(f *testing.F) {
	f.Add("multipart/mixed; boundary=b", withCRLF(mixed))
	f.Add("application/json", []byte(`{"requests":[{"id":"1","method":"post","url":"x","body":{}},{"id":"2","method":"get","url":"$1","dependsOn":["1"]}]}`))
	f.Add("application/json", []byte(`{"requests":[{"id":"$1","method":"get","url":"$$1","headers":{"content-type":"text/plain"},"body":"x"}]}`))
	f.Fuzz(func(t *testing.T, media string, body []byte) {
		b, err := ParseBatch(media, body, batchLimits)
		if err != nil {
			return
		}
		for i, item := range b.Items {
			for _, dependency := range item.DependsOn {
				if dependency >= i {
					t.Fatalf("item %d depends on %d", i, dependency)
				}
			}
		}
		_, out := b.Render(make([]BatchAnswer, len(b.Items)))
		if len(b.Items) > batchLimits.Items || b.JSON && !json.Valid(out) {
			t.Fatalf("%d items, answers %q", len(b.Items), out)
		}
	})
}
