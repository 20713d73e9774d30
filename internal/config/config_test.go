package config

import (
	"errors"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/odata"
	"passtack/internal/quota"
)

var (
	platformAddress = netip.MustParseAddrPort("127.0.0.1:6543")
	methods         = []Method{
		{Name: "status-read", Need: "bounded", Idempotent: true, SoftDeadline: time.Second, MaxDeadline: 2 * time.Second},
		{Name: "own-read", Need: "session", Idempotent: true}, {Name: "apply-write", Need: "write", HasIdempotencyKey: true, Window: time.Second},
	}
)

func sampleText(t *testing.T) string {
	text, err := os.ReadFile("../../deploy/passtack.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Checks that the values of the sample file are stored in the right fields.
func TestSampleFileIsRead(t *testing.T) {
	f, err := Parse([]byte(sampleText(t)), "passtack.hcl", platformAddress, methods)
	if err != nil {
		t.Fatal(err)
	}
	if len(f.Listeners) != 2 || f.Listeners[0].Name != "portal" || f.Listeners[0].Quota.Weight != 2 || f.LogSample != 50 {
		t.Fatalf("read as %+v", f)
	}
	if st := f.State; st == nil || st.DataDir != "/var/lib/passtack/n0" || st.SaveInterval != time.Second || st.MaxBytes != 32<<20 {
		t.Errorf("state is read as %+v", st)
	}
	o := f.Listeners[1]
	s := o.OData.Model.Set("Applications")
	if o.Quota.Limits[quota.RPCs] != 500 || o.OData.Idempotency.TTL != 5*time.Minute || o.OData.HTTP.Body != 262144 || s.PageSize != 100 ||
		s.ETag.Name != "Version" || s.Operations[odata.Read].AfterWrite != 1 || !s.Operations[odata.Create].HasIdempotencyKey ||
		s.Operations[odata.Create].Window != time.Second || s.Operations[odata.Count] != nil {
		t.Errorf("read as %+v, %+v", o, s)
	}
}

// Without a file there is only the platform's listener, and members receive statements.
func TestDefaultHasPlatformListener(t *testing.T) {
	f := Default()
	if len(f.Listeners) != 1 || f.Listeners[0].Listen.IsValid() || f.Forms[driver.Group(3)] != driver.Statements {
		t.Errorf("%+v", f)
	}
}

// Each error in the sample file is reported with its position and value.
func TestErrorsReportPositionAndValue(t *testing.T) {
	good := sampleText(t)
	for _, m := range []struct{ old, new, want string }{
		{"weight = 2", "wieght = 2", `:11:3: unsupported argument`},
		{"weight = 2", `weight = "two"`, `:11:12: weight must be a number, got "two"`},
		{"weight = 2", `weight = 0`, `:11:12: weight must be from 0.01 to 1000, got 0`},
		{`"/var/lib/passtack/n0"`, `"state"`, `folder must be an absolute path, got "state"`},
		{`every   = "1s"`, `every   = "1ms"`, `every must be a duration from 100ms to 1h0m0s, got "1ms"`},
		{"most_kb = 32768", "most_kb = 1", `most_kb must be from 64 to 1.048576e+06, got 1`},
		{"127.0.0.1:8080", "127.0.0.1:6543", `:15:15: listen is already used by the platform's listener, got "127.0.0.1:6543"`},
		{"127.0.0.1:8080", "0.0.0.0:6543", `listen is already used by the platform's listener, got "0.0.0.0:6543"`},
		{"127.0.0.1:8080", "nowhere", `listen must be an IP address with a port, got "nowhere"`},
		{`method      = "status-read"`, `method      = "status-raed"`, `method is none of the settings ("status-raed")`},
		{`method    = "apply-write"`, `method    = "own-read"`, `method must not be a method for reads, got "own-read"`},
		{`after_write = "own-read"`, `after_write = "status-read"`, `after_write must be a method that sees the writes of its session, got "status-read"`},
		{`      after_write = "own-read"` + "\n", ``, `needs after_write: its method may miss a write of the same batch ("status-read")`},
		{"= {key}\"\n    }\n    operation \"list\"", "= 'x'\"\n    }\n    operation \"list\"", `statement of "read" must contain {key}`},
		{"{Status}", "{Stats}", `statement: no blank or property "Stats"`},
		{`key    = "Id"`, `key    = "Ident"`, `key must be a property of set "Applications", got "Ident"`},
		{`groups = [0]`, `groups = [0, "x", 70000]`, `a group must be a whole number from 0 to 65535, got "x"`},
		{`groups = [0]`, ``, `groups is missing`},
		{`"Edm.Int64"`, `"Edm.Int65"`, `, got "Edm.Int65"`},
		{`front "odata" "offices"`, `front "soap" "offices"`, `front protocol must be pg or odata, got "soap"`},
		{`operation "delete"`, `operation "remove"`, `operation must be one of read, list,`},
		{`kept      = "5m"`, `kept      = "5 minutes"`, `kept must be a duration from 1s to 24h0m0s, got "5 minutes"`},
		{`sample = 50`, `sample = 1.5`, `sample must be a whole number, got 1.5`},
		{`level  = "info"`, `level  = "loud"`, `level must be debug, info, warn or error, got "loud"`},
		{`sticky    = false`, `sticky    = "no"`, `sticky must be true or false, got "no"`},
		{`root      = "/odata/"`, `root      = "odata"`, `root must begin and end with a slash and contain no space, ?, # or %, got "odata"`},
		{`log {`, `log {` + "\n}\nlog {", `duplicate block log`},
		{`front "pg" "portal" {`, `front "pg" "offices" {`, `duplicate front name "offices"`},
	} {
		text := strings.Replace(good, m.old, m.new, 1)
		if text == good {
			t.Fatalf("%q is not in the sample", m.old)
		}
		_, err := Parse([]byte(text), "passtack.hcl", platformAddress, methods)
		if err == nil || !strings.Contains(err.Error(), m.want) || !strings.HasPrefix(err.Error(), "passtack.hcl:") {
			t.Errorf("%s: %v, want %s", m.new, err, m.want)
		}
	}
}

// The sample file for leases is read, and each error in it is reported with its value.
func TestLeaseErrorsAreReported(t *testing.T) {
	text, err := os.ReadFile("../../deploy/leases.hcl")
	if err != nil {
		t.Fatal(err)
	}
	good := string(text)
	f, err := Parse(text, "leases.hcl", platformAddress, methods)
	if err != nil || len(f.Leases.Tasks) != 2 || f.Leases.TTL != 5*time.Second || len(f.Leases.VoterSet().All()) != 3 || f.Control.Port() != 7070 {
		t.Fatalf("%+v, %v", f, err)
	}
	for _, m := range []struct{ old, new, want string }{
		{`"127.0.0.1:7070"`, `"10.0.0.1:7070"`, `listen must be a loopback address with a port, got "10.0.0.1:7070"`},
		{`"127.0.0.1:7070"`, `"127.0.0.1:6543"`, `listen is already used by the platform's listener, got "127.0.0.1:6543"`},
		{`fleet   = "bureau"`, ``, `fleet must be 1 to 64 letters, digits, dots, dashes or underscores, got ""`},
		{`"n0", "n1", "n2"`, `"n0", "n1"`, `voters must list three, five or seven names, got 2`},
		{`"n0", "n1", "n2"`, `"n0", "n1", "n1"`, `voter names must be distinct and 1 to 64 letters, digits, dots, dashes or underscores, got "n1"`},
		{`voters  =`, `former  =`, `former must not be set in version 1`},
		{`lasts   = "5s"`, `lasts   = "5ms"`, `lasts must be a duration from 500ms to 1m0s, got "5ms"`},
		{`longest = "10s"`, `longest = "2s"`, `longest must not be shorter than lasts, got 2s and 5s`},
		{`"/var/lib/passtack/n0-votes"`, `"votes"`, `folder must be an absolute path, got "votes"`},
		{`task "summary"`, `task "sumary"`, `task must be watch-discovery or summary, got "sumary"`},
		{`task "watch-discovery" {}`, `task "summary" {` + "\nto = \"127.0.0.1:1\"\n}", `duplicate task "summary"`},
		{`task "watch-discovery" {}`, `task "watch-discovery" {` + "\nevery = \"1s\"\n}", `unsupported argument (every)`},
		{`to    = "127.0.0.1:9000"`, `to    = "nowhere"`, `to must be an IP address with a port, got "nowhere"`},
		{`control {`, "view {\n  fleet = \"other\"\n}\ncontrol {", `fleet "other" differs from the fleet of the leases, "bureau"`},
		{`control {`, "view {\n  every = \"1ms\"\n  fleet = \"bureau\"\n}\ncontrol {", `every must be a duration from 50ms to 1m0s, got "1ms"`},
		{`path  = "/fleet"`, `path  = "a b"`, `path must begin with a slash and contain no space or line break, got "a b"`},
	} {
		text := strings.Replace(good, m.old, m.new, 1)
		if text == good {
			t.Fatalf("%q is not in the sample", m.old)
		}
		if _, err := Parse([]byte(text), "leases.hcl", platformAddress, methods); err == nil || !strings.Contains(err.Error(), m.want) {
			t.Errorf("%s: %v, want %s", m.new, err, m.want)
		}
	}
}

// A file with several errors gives all of them in one run. A file that is not valid HCL gives its position.
func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	text := strings.NewReplacer("weight = 2", "wieght = 2", `"Edm.Int64"`, `"Edm.Int65"`, "{Status}", "{Stats}", `= "5m"`, `= 5`).Replace(sampleText(t))
	_, err := Parse([]byte(text), "passtack.hcl", platformAddress, methods)
	if lines := strings.Count(err.Error(), "\n") + 1; lines != 4 {
		t.Errorf("got %d lines, want 4: %v", lines, err)
	}
	if _, err := Parse([]byte("front {"), "passtack.hcl", platformAddress, methods); err == nil || !strings.HasPrefix(err.Error(), "passtack.hcl:1:") {
		t.Errorf("invalid HCL: %v", err)
	}
}

// Callers can inspect an error through its type, without parsing its text.
func TestErrorsAreTyped(t *testing.T) {
	_, err := Parse([]byte("log {\n  sample = 1.5\n}\n"), "passtack.hcl", platformAddress, methods)
	var all ValidationErrors
	var one *ValidationError
	if !errors.As(err, &all) || len(all) != 1 || !errors.As(err, &one) || one.File != "passtack.hcl" || one.Line != 2 || one.Column != 12 {
		t.Errorf("%#v, %+v", err, one)
	}
	if _, err := ReadMachine("../../deploy/passtack.hcl"); err == nil || errors.Is(err, ErrNoControlMachine) {
		t.Errorf("a file that cannot be read without methods: %v", err)
	}
}

// A set must not mix groups of two protocols, and operations on members that speak OData must not have statements.
func TestMembersOfTwoProtocols(t *testing.T) {
	text := strings.Replace(sampleText(t), "groups = [0]", "groups = [0, 1]", 1) + "members \"odata\" {\ngroups = [1]\nroot = \"/v4/\"\n}\n"
	if _, err := Parse([]byte(text), "passtack.hcl", platformAddress, methods); err == nil || !strings.Contains(err.Error(), "must not use two protocols") {
		t.Errorf("%v", err)
	}
	text = strings.Replace(text, "groups = [0, 1]", "groups = [1]", 1)
	if _, err := Parse([]byte(text), "passtack.hcl", platformAddress, methods); err == nil || !strings.Contains(err.Error(), "accept no statement") {
		t.Errorf("%v", err)
	}
	var lines []string
	for line := range strings.Lines(text) {
		if !strings.Contains(line, "statement") {
			lines = append(lines, line)
		}
	}
	f, err := Parse([]byte(strings.Join(lines, "")), "passtack.hcl", platformAddress, methods)
	if err != nil || f.Forms[1] != driver.Requests || f.Forms[0] != driver.Statements || f.MemberRoot != "/v4/" {
		t.Errorf("%v, %+v", err, f)
	}
}

// Any text gives either a file or an error, and never a panic.
func FuzzFile(f *testing.F) {
	text, _ := os.ReadFile("../../deploy/passtack.hcl")
	f.Add(string(text))
	f.Add(`front "odata" "a" { set "b" { operation "read" { statement = "${x}" } property "c" { type = null } } }`)
	f.Add(`log { sample = 1e999 } members "odata" { groups = [for x in [1]: x] }`)
	f.Fuzz(func(t *testing.T, text string) {
		if got, err := Parse([]byte(text), "x", platformAddress, methods); (got == nil) != (err != nil) {
			t.Errorf("%v, %v", got, err)
		}
	})
}
