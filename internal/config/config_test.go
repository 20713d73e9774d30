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
	platform = netip.MustParseAddrPort("127.0.0.1:6543")
	methods  = []Method{
		{Name: "status-read", Need: "bounded", Idempotent: true, SoftDeadline: time.Second, MaxDeadline: 2 * time.Second},
		{Name: "own-read", Need: "session", Idempotent: true}, {Name: "apply-write", Need: "write", HasIdempotencyKey: true, Window: time.Second},
	}
)

func sample(t *testing.T) string {
	text, err := os.ReadFile("../../deploy/passtack.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestTheSampleIsRead(t *testing.T) {
	f, err := Parse([]byte(sample(t)), "passtack.hcl", platform, methods)
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

func TestDefaultHasThePlatformsListener(t *testing.T) {
	f := Default()
	if len(f.Listeners) != 1 || f.Listeners[0].Listen.IsValid() || f.Forms[driver.Group(3)] != driver.Statements {
		t.Errorf("%+v", f)
	}
}

// Each error alone is reported in one line, with its place and value.
func TestEachErrorHasItsPlaceAndValue(t *testing.T) {
	good := sample(t)
	for _, m := range []struct{ old, new, want string }{
		{"weight = 2", "wieght = 2", `:11:3: unsupported argument`},
		{"weight = 2", `weight = "two"`, `:11:12: weight is no number ("two")`},
		{"weight = 2", `weight = 0`, `:11:12: weight is not from 0.01 to 1000 (0)`},
		{`"/var/lib/passtack/n0"`, `"state"`, `folder is no path from the root ("state")`},
		{`every   = "1s"`, `every   = "1ms"`, `every is no time from 100ms to 1h0m0s ("1ms")`},
		{"most_kb = 32768", "most_kb = 1", `most_kb is not from 64 to 1.048576e+06 (1)`},
		{"127.0.0.1:8080", "127.0.0.1:6543", `:15:15: listen is taken by the platform's listener ("127.0.0.1:6543")`},
		{"127.0.0.1:8080", "0.0.0.0:6543", `listen is taken by the platform's listener ("0.0.0.0:6543")`},
		{"127.0.0.1:8080", "nowhere", `listen is no address with a port ("nowhere")`},
		{`method      = "status-read"`, `method      = "status-raed"`, `method is none of the settings ("status-raed")`},
		{`method    = "apply-write"`, `method    = "own-read"`, `method is for reads, not for this ("own-read")`},
		{`after_write = "own-read"`, `after_write = "status-read"`, `after_write sees no write of its session ("status-read")`},
		{`      after_write = "own-read"` + "\n", ``, `needs after_write: its method may miss a write of the same batch ("status-read")`},
		{"= {key}\"\n    }\n    operation \"list\"", "= 'x'\"\n    }\n    operation \"list\"", `statement of "read" leaves {key} open nowhere`},
		{"{Status}", "{Stats}", `statement: no blank or property "Stats"`},
		{`key    = "Id"`, `key    = "Ident"`, `key names no property of set "Applications" ("Ident")`},
		{`groups = [0]`, `groups = [0, "x", 70000]`, `a group that cannot be ("x")`},
		{`groups = [0]`, ``, `groups is missing`},
		{`"Edm.Int64"`, `"Edm.Int65"`, `("Edm.Int65")`},
		{`front "odata" "offices"`, `front "soap" "offices"`, `fronts speak pg or odata ("soap")`},
		{`operation "delete"`, `operation "remove"`, `an operation is one of read, list,`},
		{`kept      = "5m"`, `kept      = "5 minutes"`, `kept is no time from 1s to 24h0m0s ("5 minutes")`},
		{`sample = 50`, `sample = 1.5`, `sample is no whole number (1.5)`},
		{`level  = "info"`, `level  = "loud"`, `level is none of debug, info, warn and error ("loud")`},
		{`sticky    = false`, `sticky    = "no"`, `sticky is no true or false ("no")`},
		{`root      = "/odata/"`, `root      = "odata"`, `root is no path that begins and ends with a slash ("odata")`},
		{`log {`, `log {` + "\n}\nlog {", `a second block log`},
		{`front "pg" "portal" {`, `front "pg" "offices" {`, `two fronts have this name ("offices")`},
	} {
		text := strings.Replace(good, m.old, m.new, 1)
		if text == good {
			t.Fatalf("%q is not in the sample", m.old)
		}
		_, err := Parse([]byte(text), "passtack.hcl", platform, methods)
		if err == nil || !strings.Contains(err.Error(), m.want) || !strings.HasPrefix(err.Error(), "passtack.hcl:") {
			t.Errorf("%s: %v, want %s", m.new, err, m.want)
		}
	}
}

// The sample for leases is read, and each error in it is reported.
func TestEachErrorInLeasesIsReported(t *testing.T) {
	text, err := os.ReadFile("../../deploy/leases.hcl")
	if err != nil {
		t.Fatal(err)
	}
	good := string(text)
	f, err := Parse(text, "leases.hcl", platform, methods)
	if err != nil || len(f.Leases.Tasks) != 2 || f.Leases.TTL != 5*time.Second || len(f.Leases.VoterSet().All()) != 3 || f.Control.Port() != 7070 {
		t.Fatalf("%+v, %v", f, err)
	}
	for _, m := range []struct{ old, new, want string }{
		{`"127.0.0.1:7070"`, `"10.0.0.1:7070"`, `listen is no loopback address with a port ("10.0.0.1:7070")`},
		{`"127.0.0.1:7070"`, `"127.0.0.1:6543"`, `listen is taken by the platform's listener ("127.0.0.1:6543")`},
		{`fleet   = "bureau"`, ``, `fleet is no name of letters, digits, dots and dashes ("")`},
		{`"n0", "n1", "n2"`, `"n0", "n1"`, `voters are neither three nor five nor seven (2)`},
		{`"n0", "n1", "n2"`, `"n0", "n1", "n1"`, `a name that cannot be, or that comes twice ("n1")`},
		{`voters  =`, `former  =`, `former is given with the first version`},
		{`lasts   = "5s"`, `lasts   = "5ms"`, `lasts is no time from 500ms to 1m0s ("5ms")`},
		{`longest = "10s"`, `longest = "2s"`, `longest is under lasts (2s, 5s)`},
		{`"/var/lib/passtack/n0-votes"`, `"votes"`, `folder is no path from the root ("votes")`},
		{`task "summary"`, `task "sumary"`, `tasks are watch-discovery and summary ("sumary")`},
		{`task "watch-discovery" {}`, `task "summary" {` + "\nto = \"127.0.0.1:1\"\n}", `a second task of this name ("summary")`},
		{`task "watch-discovery" {}`, `task "watch-discovery" {` + "\nevery = \"1s\"\n}", `unsupported argument (every)`},
		{`to    = "127.0.0.1:9000"`, `to    = "nowhere"`, `to is no address with a port ("nowhere")`},
		{`control {`, "view {\n  fleet = \"other\"\n}\ncontrol {", `fleet is another than that of the leases ("other", "bureau")`},
		{`control {`, "view {\n  every = \"1ms\"\n  fleet = \"bureau\"\n}\ncontrol {", `every is no time from 50ms to 1m0s ("1ms")`},
		{`path  = "/fleet"`, `path  = "a b"`, `path does not begin with a slash, or has a space ("a b")`},
	} {
		text := strings.Replace(good, m.old, m.new, 1)
		if text == good {
			t.Fatalf("%q is not in the sample", m.old)
		}
		if _, err := Parse([]byte(text), "leases.hcl", platform, methods); err == nil || !strings.Contains(err.Error(), m.want) {
			t.Errorf("%s: %v, want %s", m.new, err, m.want)
		}
	}
}

func TestAllErrorsAreReportedAtOnce(t *testing.T) {
	text := strings.NewReplacer("weight = 2", "wieght = 2", `"Edm.Int64"`, `"Edm.Int65"`, "{Status}", "{Stats}", `= "5m"`, `= 5`).Replace(sample(t))
	_, err := Parse([]byte(text), "passtack.hcl", platform, methods)
	if lines := strings.Count(err.Error(), "\n") + 1; lines != 4 {
		t.Errorf("%d lines of 4: %v", lines, err)
	}
	if _, err := Parse([]byte("front {"), "passtack.hcl", platform, methods); err == nil || !strings.HasPrefix(err.Error(), "passtack.hcl:1:") {
		t.Errorf("what is no HCL: %v", err)
	}
}

// An error can be examined without its text.
func TestErrorsAreTyped(t *testing.T) {
	_, err := Parse([]byte("log {\n  sample = 1.5\n}\n"), "passtack.hcl", platform, methods)
	var all ValidationErrors
	var one *ValidationError
	if !errors.As(err, &all) || len(all) != 1 || !errors.As(err, &one) || one.File != "passtack.hcl" || one.Line != 2 || one.Column != 12 {
		t.Errorf("%#v, %+v", err, one)
	}
	if _, err := ReadMachine("../../deploy/passtack.hcl"); err == nil || errors.Is(err, ErrNoControlMachine) {
		t.Errorf("a file that cannot be read without methods: %v", err)
	}
}

func TestMembersOfTwoProtocols(t *testing.T) {
	text := strings.Replace(sample(t), "groups = [0]", "groups = [0, 1]", 1) + "members \"odata\" {\ngroups = [1]\nroot = \"/v4/\"\n}\n"
	if _, err := Parse([]byte(text), "passtack.hcl", platform, methods); err == nil || !strings.Contains(err.Error(), "speak two protocols") {
		t.Errorf("%v", err)
	}
	text = strings.Replace(text, "groups = [0, 1]", "groups = [1]", 1)
	if _, err := Parse([]byte(text), "passtack.hcl", platform, methods); err == nil || !strings.Contains(err.Error(), "take no statement") {
		t.Errorf("%v", err)
	}
	var kept []string
	for line := range strings.Lines(text) {
		if !strings.Contains(line, "statement") {
			kept = append(kept, line)
		}
	}
	f, err := Parse([]byte(strings.Join(kept, "")), "passtack.hcl", platform, methods)
	if err != nil || f.Forms[1] != driver.Requests || f.Forms[0] != driver.Statements || f.MemberRoot != "/v4/" {
		t.Errorf("%v, %+v", err, f)
	}
}

func FuzzFile(f *testing.F) {
	text, _ := os.ReadFile("../../deploy/passtack.hcl")
	f.Add(string(text))
	f.Add(`front "odata" "a" { set "b" { operation "read" { statement = "${x}" } property "c" { type = null } } }`)
	f.Add(`log { sample = 1e999 } members "odata" { groups = [for x in [1]: x] }`)
	f.Fuzz(func(t *testing.T, text string) {
		if got, err := Parse([]byte(text), "x", platform, methods); (got == nil) != (err != nil) {
			t.Errorf("%v, %v", got, err)
		}
	})
}
