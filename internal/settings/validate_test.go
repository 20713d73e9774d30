package settings

import (
	"maps"
	"strings"
	"testing"
)

func TestValidateNamesUnusableMethods(t *testing.T) {
	good := ParseLines(`classes.count=3
classes.0.effect=safe
classes.0.target_us=600000
classes.1.effect=keyed
classes.1.group=cell
classes.1.window_us=700000
classes.1.target_us=600000
classes.2.effect=unsafe
classes.2.target_us=600000
family_info.class_read=recent,update,update
family_info.lag_allowed_us=800000,0,0
`)
	if err := New(good).Validate(); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[string]string{
		"classes.count=":                           "classes: there is none",
		"classes.2.effect=sometimes":               `classes.2.effect is "sometimes"`,
		"classes.0.effect=":                        `classes.0.effect is ""`,
		"classes.1.window_us=":                     `classes.1.window_us is ""`,
		"classes.1.window_us=-5":                   `classes.1.window_us is "-5"`,
		"classes.1.group=everywhere":               `classes.1.group is "everywhere"`,
		"classes.1.target_us=soon":                 `classes.1.target_us is "soon"`,
		"family_info.class_read=recent,update":     `family_info.class_read is "" for classes.2`,
		"family_info.class_read=old,update,update": `family_info.class_read is "old" for classes.0`,
		"family_info.lag_allowed_us=":              "family_info.lag_allowed_us gives no bound for classes.0",
	} {
		bad := maps.Clone(good)
		maps.Copy(bad, ParseLines(change))
		if err := New(bad).Validate(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%s: %v", change, err)
		}
	}
}
