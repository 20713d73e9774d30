package settings

import (
	"encoding/json"
	"maps"
	"strings"
	"testing"
	"time"
)

// The simulator sends settings as lines, a driver's file has them as a JSON object. Both must give the module the same settings.
func TestLinesAndObjectsAreEquivalent(t *testing.T) {
	const object = `{"areas":["a b"],"tick_us":5000,"tenants":[],"caps":{"may_probe":false,"peers":true,"cpu_us_per_request":0.0},
"classes":[{"effect":"safe","target_us":600000},{"effect":"keyed","name":"update"}],
"family_info":{"class_read":["recent","own_writes"],"lag_allowed_us":[800000,0]},"registry_mode":"automatic"}`
	const text = "areas=a_b\ntick_us=5000\ntenants=\ncaps.may_probe=false\ncaps.peers=true\ncaps.cpu_us_per_request=0.0\n" +
		"classes.count=2\nclasses.0.effect=safe\nclasses.0.target_us=600000\nclasses.1.effect=keyed\nclasses.1.name=update\n" +
		"family_info.class_read=recent,own_writes\nfamily_info.lag_allowed_us=800000,0\nregistry_mode=automatic\n"
	decoder := json.NewDecoder(strings.NewReader(object))
	decoder.UseNumber()
	var decoded map[string]any
	if err := decoder.Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	nested, lines := Flatten(decoded), ParseLines(text)
	if !maps.Equal(nested, lines) {
		t.Fatalf("nested %v\nlines %v", nested, lines)
	}
	settings := New(nested)
	if settings.Text("methods.0.effect") != "idempotent" || settings.ListItem("family_info.needs", 1) != "session" ||
		settings.Duration("tick") != 5*time.Millisecond || settings.Bool("caps.probe") || !settings.Bool("caps.tell") || settings.Number("methods.count", 0) != 2 ||
		settings.Text("methods.1.name") != "update" {
		t.Fatalf("read as %v", nested)
	}
}
