package odata

import (
	"encoding/json"
	"encoding/xml"
	"io"
	"strings"
	"testing"
)

func sample() *Model {
	id := &Property{Name: "Id", Column: "id", Type: String, MaxLength: 40}
	s := &Set{Name: "Applications", Type: "Application", Key: id, PageSize: 3, Properties: []*Property{
		id, {Name: "Status", Column: "status", Type: String, Nullable: true},
		{Name: "Grade", Column: `gr"ade`, Type: Int32}, {Name: "Sent", Column: "sent", Type: Instant, Nullable: true},
		{Name: "Born", Column: "born", Type: Date, Nullable: true}, {Name: "Fee", Column: "fee", Type: Decimal, Nullable: true},
		{Name: "Done", Column: "done", Type: Boolean, Nullable: true}, {Name: "Version", Column: "version", Type: Int64},
	}}
	s.ETag = s.Property("Version")
	return &Model{Namespace: "Karoo", Sets: []*Set{s}}
}

func TestPaths(t *testing.T) {
	m := sample()
	for target, want := range map[string]struct {
		kind Kind
		key  string
	}{
		"/odata/": {ServiceDocument, ""}, "/odata": {ServiceDocument, ""}, "/odata/$metadata": {Metadata, ""},
		"http://x:8/odata/$batch": {BatchResource, ""}, "/odata/Applications": {Collection, ""}, "Applications()": {Collection, ""},
		"/odata/Applications/$count": {CountResource, ""}, "/odata/Applications('a%20b')": {Entity, "a b"},
		"/odata/Applications(Id='O''Neil')": {Entity, "O'Neil"}, "/odata/Applications('a%2Fb')/Status": {PropertyResource, "a/b"},
		"/odata/Applications('x')/Status/$value": {ValueResource, "x"},
	} {
		r, err := m.Parse(target, "/odata/")
		if err != nil || r.Kind != want.kind || r.Key.Text != want.key {
			t.Errorf("%s: kind %d, key %q, %v", target, r.Kind, r.Key.Text, err)
		}
	}
	for target, want := range map[string]int{
		"/other/": 404, "/odata/Nobody": 404, "/odata/Applications('x')/Nothing": 404, "/odata/Applications('x": 400,
		"/odata/Applications(5)": 400, "/odata/Applications('x'y')": 400, "/odata/Applications(null)": 400, "/odata/%zz": 400,
		"/odata/Applications('%00')": 400, "/odata/Applications('%ff')": 400, "/odata/$crossjoin": 501,
		"/odata/Applications('x')/$ref": 501, "/odata/Applications/Status": 501, "/odata/Applications('x')/Status/$count": 501,
		"/odata/Applications?$top=-1": 400, "/odata/Applications?$top=1&top=2": 400, "/odata/Applications?$expand=x": 501,
		"/odata/Applications?$what=x": 400, "/odata/Applications?$select=Nothing": 400, "/odata/Applications?$orderby=Id down": 400,
		"/odata/Applications('x')?$top=1": 400, "/odata/Applications?$count=yes": 400, "/odata/Applications?$skiptoken=x": 501,
		"http://x": 400,
	} {
		if _, err := m.Parse(target, "/odata/"); err == nil || err.Status != want {
			t.Errorf("%s: %v, want %d", target, err, want)
		}
	}
}

func TestFilters(t *testing.T) {
	s := sample().Sets[0]
	for text, want := range map[string]string{
		"Status eq 'it''s'":                           `("status" = 'it''s')`,
		"Grade gt 3 and Grade le 12 or not Done":      `((("gr""ade" > 3) AND ("gr""ade" <= 12)) OR (NOT "done"))`,
		"Status ne null":                              `("status" IS NOT NULL)`,
		"Status ne 'x'":                               `("status" IS DISTINCT FROM 'x')`,
		"null eq Status":                              `("status" IS NULL)`,
		"Fee lt -3.50":                                `("fee" < -3.50)`,
		"(Status eq 'a') or (Status eq 'b')":          `(("status" = 'a') OR ("status" = 'b'))`,
		"Status in ('a', 'b')":                        `("status" IN ('a', 'b'))`,
		"contains(Status,'%') and startswith(Id,'b')": `((strpos("status", '%') > 0) AND starts_with("id", 'b'))`,
		"endswith(tolower(Status),'x')":               `(right(lower("status"), length('x')) = 'x')`,
		"year(Sent) eq 2026":                          `(CAST(extract(year from "sent") AS int) = 2026)`,
		"Born ge 2015-01-31":                          `("born" >= '2015-01-31'::date)`,
		"Sent lt 2026-12-01T10:00:00Z":                `("sent" < '2026-12-01T10:00:00Z'::timestamptz)`,
		"Done":                                        `"done"`,
		"length(trim(Status)) eq indexof(Id, 'x')":    `(length(btrim("status")) = (strpos("id", 'x') - 1))`,
	} {
		n, err := ParseFilter(text, s)
		if err != nil {
			t.Errorf("%s: %v", text, err)
		} else if got := n.SQL(); got != want {
			t.Errorf("%s: %s, want %s", text, got, want)
		}
	}
	for text, want := range map[string]int{
		"": 400, "Status": 400, "Status eq": 400, "Status eq 5": 400, "Nothing eq 5": 400, "Status eq 'x": 400, "(Status eq 'x'": 400,
		"Status eq 'x') or (1 eq 1": 400, "Status eq 'x'; drop": 400, "Grade in (1, 'x')": 400, "Grade in 1": 400, "Status gt null": 400,
		"not Grade": 400, "Grade and Done": 400, "Grade add 1 eq 2": 501, "round(Fee) eq 1": 501, "contains(Status)": 400,
		"contains(Status,'a','b')": 400, "Status/x eq 'a'": 501, "Grade eq 1--": 400, "Sent eq 2026-13-01T00:00:00Z": 400,
		strings.Repeat("(", 100) + "Done" + strings.Repeat(")", 100): 400, strings.Repeat("not ", 100) + "Done": 400,
		"Done" + strings.Repeat(" and Done", 300): 400,
	} {
		if n, err := ParseFilter(text, s); err == nil || err.Status != want {
			t.Errorf("%.40s: %v, %v, want %d", text, n, err, want)
		}
	}
}

// outsideQuotes returns the parts of a statement that are outside string literals and quoted names.
func outsideQuotes(t *testing.T, statement string) (out string) {
	for i := 0; i < len(statement); i++ {
		q := statement[i]
		if q != '\'' && q != '"' {
			out += string(q)
			continue
		}
		for i++; ; i++ {
			if i >= len(statement) {
				t.Fatalf("%q: a quote does not end", statement)
			}
			if statement[i] == q {
				if i+1 < len(statement) && statement[i+1] == q {
					i++
					continue
				}
				break
			}
		}
	}
	return out
}

// Guards against SQL injection: text from a client's key, body or filter must be in quotes or be a number. Outside quotes a
// statement must have only text from the operator or from this program.
func FuzzStatements(f *testing.F) {
	f.Add("Applications('x')", "Status eq 'x'", `{"Id":"a","Status":"b"}`)
	f.Add("Applications('x''; drop table items; --')", "contains(Status,''');--')", `{"Id":"'; --","Grade":-1}`)
	f.Add("Applications('%27%27')", "Status in ('a','--') or Grade eq 1e5", `{"Id":"\u0027","Fee":1.5}`)
	f.Add("Applications('\\')", "Sent lt 2026-12-01T10:00:00+02:00 and Id ne '\\'", `{"Id":"\\","Sent":"2026-12-01T10:00:00Z"}`)
	model := sample()
	set := model.Sets[0]
	statement, err := NewTemplate("SELECT {key}, {body}, {Status}, {Grade}, {Fee}, {Sent}, {match} WHERE {where} ORDER BY {order} LIMIT {top}", set)
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, path, filter, body string) {
		arguments := &Arguments{Set: set, Key: Value{String, "k"}, Match: path, Top: 3}
		if r, err := model.Parse(path, "/"); err == nil && r.Kind == Entity {
			arguments.Key = r.Key
		}
		if strings.IndexByte(path, 0) >= 0 {
			arguments.Match = ""
		}
		if n, err := ParseFilter(filter, set); err == nil {
			arguments.Filter = n
		}
		if values, err := set.Body([]byte(body), false); err == nil {
			arguments.Values, arguments.Body = values, []byte(body)
		}
		text := string(statement.Append(nil, arguments))
		if strings.IndexByte(text, 0) >= 0 {
			t.Fatalf("%q holds a zero byte", text)
		}
		outside := outsideQuotes(t, text)
		for _, word := range []string{"--", ";", "/*", "*/", "\\", "$$", "drop", "\n"} {
			if strings.Contains(outside, word) {
				t.Fatalf("%q is outside of quotes in %q", word, text)
			}
		}
	})
}

func TestTemplates(t *testing.T) {
	s := sample().Sets[0]
	for _, text := range []string{"SELECT {nothing}", "SELECT {key", "SELECT key}", "{}"} {
		if _, err := NewTemplate(text, s); err == nil {
			t.Errorf("%s is accepted", text)
		}
	}
	statement, _ := NewTemplate("INSERT INTO items (id, grade, status) VALUES ({key}, {Grade}, {Status}) ORDER BY {order}", s)
	got := string(statement.Append(nil, &Arguments{Set: s, Key: Value{String, "a'b"}, Values: map[string]Value{"Grade": {Int32, "7"}},
		Order: []Order{{s.Property("Grade"), true}}}))
	if want := `INSERT INTO items (id, grade, status) VALUES ('a''b', 7, NULL) ORDER BY "gr""ade" DESC, "id"`; got != want {
		t.Errorf("%s", got)
	}
}

func TestBodies(t *testing.T) {
	s := sample().Sets[0]
	for text, want := range map[string]bool{
		`{"Id":"a","Grade":7,"Version":1,"@odata.type":"#x"}`: true, `{"Id":"a"}`: false, `{"Id":"a","Grade":"7","Version":1}`: false,
		`{"Id":"a","Grade":7,"Version":1,"Other":1}`: false, `{"Id":"a","Grade":7,"Grade":7,"Version":1}`: false,
		`{"Id":null,"Grade":7,"Version":1}`: false, `{"Id":"a","Grade":7.5,"Version":1}`: false, `[]`: false, `{`: false, ``: false,
		`{"Id":"a","Grade":7,"Version":1} x`: false, `{"Id":"a\u0000","Grade":7,"Version":1}`: false, `{"Id":{},"Grade":7,"Version":1}`: false,
		`{"Id":"a","Grade":7,"Version":9007199254740993,"Born":"2015-01-31","Fee":1.5,"Done":null}`: true,
		`{"Id":"` + strings.Repeat("é", 41) + `","Grade":7,"Version":1}`:                            false, `{"Id":"a","Grade":7,"Version":1,"Born":""}`: false,
	} {
		if _, err := s.Body([]byte(text), true); err == nil != want {
			t.Errorf("%s: %v", text, err)
		}
	}
	if _, err := s.Body([]byte(`{"Status":"x"}`), false); err != nil {
		t.Errorf("a partial entity: %v", err)
	}
}

func TestAnswersInJSON(t *testing.T) {
	m := sample()
	const entity = `{"Id":"a","Status":null,"Grade":9007199254740993,"Version":4}`
	r, _ := m.Parse("Applications('a')", "/")
	if body, ok := r.EntityBody([]byte(entity), "/", true); !ok ||
		string(body) != `{"@odata.context":"/$metadata#Applications/$entity","@odata.etag":"W/\"4\"","Id":"a","Status":null,"Grade":9007199254740993,"Version":4}` {
		t.Errorf("%s", body)
	}
	r, _ = m.Parse("Applications('a')?$select=Grade", "/")
	if body, ok := r.EntityBody([]byte(entity), "/", false); !ok || string(body) != `{"Grade":9007199254740993}` {
		t.Errorf("%s", body)
	}
	r, _ = m.Parse("Applications('a')/Status", "/")
	if _, null, ok := r.PropertyBody([]byte(entity), "/", true, false); !ok || !null {
		t.Error("a null property has a body")
	}
	r, _ = m.Parse("Applications('a')/Id/$value", "/")
	if body, _, _ := r.PropertyBody([]byte(entity), "/", true, true); string(body) != "a" {
		t.Errorf("%s", body)
	}
	r, _ = m.Parse("Applications?$count=true", "/")
	if body, ok := r.CollectionBody([]byte(`{"count":7,"value":[{"Id":"a"},{"Id":"b"}]}`), "/", 1, false, "next"); !ok ||
		string(body) != `{"@odata.count":7,"value":[{"Id":"a"}],"@odata.nextLink":"next"}` {
		t.Errorf("%s", body)
	}
	for _, value := range []string{`[1]`, `{"value":[]}`, `{`, `"x"`, `{"count":"many","value":[]}`} {
		if body, ok := r.CollectionBody([]byte(value), "/", 1, false, ""); ok {
			t.Errorf("%s is accepted as a collection: %s", value, body)
		}
	}
	for _, value := range []string{`[1]`, `{"Id":`, `x`} {
		if body, ok := r.EntityBody([]byte(value), "/", true); ok {
			t.Errorf("%s is accepted as an entity: %s", value, body)
		}
	}
	tag := m.Sets[0].ETagOf([]byte(`{"Version":"a \"b"}`))
	if version, ok := VersionOf(tag); !ok || version != `a "b` {
		t.Errorf("the tag %s gives %q", tag, version)
	}
}

func TestMetadata(t *testing.T) {
	m := sample()
	d := xml.NewDecoder(strings.NewReader(string(m.XML())))
	found := 0
	for {
		token, err := d.Token()
		if err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		if e, ok := token.(xml.StartElement); ok && e.Name.Local == "Property" {
			found++
		}
	}
	var csdl map[string]map[string]map[string]any
	json.Unmarshal(m.JSON(), &csdl)
	if found != len(m.Sets[0].Properties) || len(csdl["Karoo"]["Application"]) != found+2 {
		t.Errorf("%d properties in XML, %v", found, csdl)
	}
}
