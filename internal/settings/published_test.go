package settings

import (
	"fmt"
	"maps"
	"strings"
	"testing"
)

var localFile = ParseLines(`areas=a,b
tick_us=5000
locality=1
position=7
balancers=20
registry_mode=automatic
caps.most_tries=8
caps.may_cancel=true
rules.cold_us=16000000
report.columns=x0,x1
classes.count=2
classes.0.name=look
classes.0.effect=safe
classes.0.points=1
classes.0.target_us=600000
classes.0.hard_limit_us=900000
classes.1.name=pay
classes.1.effect=keyed
classes.1.group=cell
classes.1.window_us=700000
classes.1.points=3
classes.1.target_us=600000
classes.1.hard_limit_us=900000
family_info.class_read=recent,update
family_info.lag_allowed_us=800000,0
tenants=
`)

func mergeOver(t *testing.T, text string) map[string]string {
	t.Helper()
	p, err := ParsePublished([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	all, err := p.MergeOver(localFile)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// A published configuration replaces the settings of a driver's own file: merged objects by key, all other settings as a whole.
func TestMergeOver(t *testing.T) {
	if all := mergeOver(t, `{}`); !maps.Equal(all, localFile) {
		t.Errorf("an empty configuration changes the settings to %v", all)
	}
	all := mergeOver(t, `{"settings":{"caps":{"most_tries":3},"balancers":470,"tenants":[{"name":"x","quota_rps":50.5}],
"classes":[{"name":"seek","effect":"unsafe","points":2.5,"target_us":100000,"hard_limit_us":100000}],"family_info":{"class_read":["latest"]}},"limits":{"memory_mb":64}}`)
	for path, want := range map[string]string{"caps.attempts": "3", "caps.cancel": "true", "drivers": "470", "tenants.count": "1", "tenants.0.quota": "50.5", "methods.count": "1",
		"methods.0.effect": "non-idempotent", "methods.1.name": "", "family_info.needs": "fresh", "family_info.bounds": "800000,0", "zone": "1", "tick": "5000"} {
		if all[path] != want {
			t.Errorf("%s is %q, want %q", path, all[path], want)
		}
	}
	if _, exists := all["tenants"]; exists {
		t.Error("the replaced empty list still exists")
	}
}

// The error names the first fault with its place and value, under the platform's names.
func TestInvalidPublishedTextIsRejected(t *testing.T) {
	method := func(more string) string {
		return `{"settings":{"classes":[{"name":"look","effect":"safe","points":1,"target_us":600000,"hard_limit_us":900000` + more + `}],"family_info":{"class_read":["loose"]}}}`
	}
	mergeOver(t, method(``))
	for text, want := range map[string]string{
		``:                                      "1:1: EOF",
		"{\n\"settings\": {]":                   "2:14: invalid character ']'",
		`[]`:                                    "1:1: array stands where an object is wanted",
		`{} {}`:                                 "1:3: more follows the object",
		`{"listen":"x"}`:                        `unknown field "listen"`,
		`{"settings":{"position":3}}`:           `settings.position is "3": it is each driver's own`,
		`{"settings":{"locality":3}}`:           `settings.locality is "3": it is each driver's own`,
		`{"settings":{"cap":{"most_tries":3}}}`: `settings.cap.most_tries is "3": there is no such setting`,
		`{"settings":{"caps":{"most_tries":2.5}}}`:                                 `settings.caps.most_tries is "2.5": a whole number from 1 on is wanted`,
		`{"settings":{"caps":{"may_cancel":1}}}`:                                   `settings.caps.may_cancel is "1": true or false is wanted`,
		`{"settings":{"rules":{"start_capacity":1.5}}}`:                            `settings.rules.start_capacity is "1.5": a number from 0 to 1 is wanted`,
		`{"settings":{"rules":{"tip_after_us":"soon"}}}`:                           `settings.rules.tip_after_us is "soon": a number above 0 is wanted`,
		`{"settings":{"family_info":{"behind":"never"}}}`:                          `settings.family_info.behind is "never": off, reject or hold is wanted`,
		`{"settings":{"balancers":0}}`:                                             `settings.balancers is "0": a whole number from 1 on is wanted`,
		`{"settings":{"areas":["a","a"]}}`:                                         `settings.areas is "a,a": a list of different words is wanted`,
		`{"settings":{"tenants":"all"}}`:                                           `settings.tenants is "all": a list of objects is wanted`,
		`{"settings":{"tenants":[{"quota_rps":-1}]}}`:                              `settings.tenants.0.quota_rps is "-1": a number from 0 on is wanted`,
		`{"limits":{"memory_mb":1}}`:                                               `limits.memory_mb is 1: `,
		`{"limits":{"sockets":1}}`:                                                 `limits.sockets is 1: `,
		method(`,"points":0`):                                                      `settings.classes.0.points is "0": a number above 0 is wanted`,
		method(`,"effect":"often"`):                                                `settings.classes.0.effect is "often": safe, keyed or unsafe is wanted`,
		method(`,"name":"a b"`):                                                    ``, // a space becomes _, as in the platform's file
		method(`,"hard_limit_us":1`):                                               `settings.classes.0.hard_limit_us is "1": it is under target_us, "600000"`,
		method(`,"name":""`):                                                       `settings.classes.0.name is "": a word of letters`,
		method(`},{"name":"look","effect":"safe","target_us":1,"hard_limit_us":1`): `settings.family_info.class_read is "" for classes.1`,
		`{"settings":{"family_info":{"class_read":["loose"]}}}`:                    `settings.family_info.class_read is "" for classes.1`,
		`{"settings":{"classes":[]}}`:                                              `settings.classes is "": a list of objects is wanted`,
	} {
		p, err := ParsePublished([]byte(text))
		if err == nil {
			_, err = p.MergeOver(localFile)
		}
		if got := fmt.Sprint(err); want == "" && err != nil || want != "" && !strings.Contains(got, want) {
			t.Errorf("%s\n got  %s\n want %s", text, got, want)
		}
	}
}

// A running driver keeps the indexes of its methods: removed methods are marked as retired. Settings that need a restart keep their values.
func TestMergeRunningKeepsMethodNumbers(t *testing.T) {
	fresh := mergeOver(t, `{"settings":{"tick_us":9000,"areas":["b","a"],"caps":{"most_tries":3},
"classes":[{"name":"new","effect":"safe","points":1,"target_us":100000,"hard_limit_us":100000},{"name":"pay","effect":"unsafe","points":9,"target_us":200000,"hard_limit_us":200000}],
"family_info":{"class_read":["loose","update"],"lag_allowed_us":[1,2]}}}`)
	running, err := MergeRunning(localFile, fresh)
	if err != nil {
		t.Fatal(err)
	}
	for path, want := range map[string]string{"methods.count": "3", "methods.0.name": "look", "methods.0.retired": "true", "methods.0.effect": "idempotent",
		"methods.1.name": "pay", "methods.1.effect": "non-idempotent", "methods.1.window": "", "methods.2.name": "new", "family_info.needs": "bounded,write,any",
		"family_info.bounds": "800000,2,1", "tick": "5000", "zones": "a,b", "caps.attempts": "3"} {
		if running[path] != want {
			t.Errorf("%s is %q, want %q", path, running[path], want)
		}
	}
	if err := New(running).Validate(); err != nil {
		t.Error(err)
	}
	if got := strings.Join(NeedsRestart(localFile, fresh), " "); got != "tick_us areas" {
		t.Errorf("%q needs a restart", got)
	}
	if got := NeedsRestart(localFile, mergeOver(t, `{"settings":{"areas":["a","b","c"],"balancers":9}}`)); len(got) > 0 {
		t.Errorf("%q needs a restart", got)
	}
	back, err := MergeRunning(running, localFile)
	if err != nil || back["methods.0.retired"] != "" || back["methods.0.name"] != "look" || back["methods.2.retired"] != "true" || back["methods.1.effect"] != "tokened" {
		t.Errorf("%v, back: %v", err, back)
	}
	again, err := MergeRunning(back, localFile)
	if err != nil || !maps.Equal(again, back) {
		t.Errorf("merging the same settings again: %v, %v", err, again)
	}
	for n, current := 0, localFile; ; n++ {
		next := mergeOver(t, fmt.Sprintf(`{"settings":{"classes":[{"name":"m%d","effect":"safe","points":1,"target_us":1,"hard_limit_us":1}],"family_info":{"class_read":["loose"]}}}`, n))
		if current, err = MergeRunning(current, next); err != nil {
			if n < 200 || !strings.Contains(err.Error(), "settings.classes") {
				t.Errorf("after %d changes: %v", n, err)
			}
			break
		}
		if n > maxMethods {
			t.Fatal("the number of methods grows without bound")
		}
	}
}
