package settings

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// Unusable tells the first thing about the methods that a driver cannot serve by, under the platform's name for it. An
// effect that nobody knows, taken for another, would run twice or be refused for ever.
func (t Settings) Validate() error {
	count := int(t.Number("methods.count", 0))
	if count < 1 {
		return errors.New("classes: there is none, or it is no list of objects")
	}
	for i := range count {
		at := "methods." + strconv.Itoa(i) + "."
		wrong := func(key, value, want string) error {
			return fmt.Errorf("classes.%d.%s is %q: %s", i, key, value, want)
		}
		if effect := t.Text(at + "effect"); !slices.Contains([]string{"idempotent", "tokened", "non-idempotent"}, effect) {
			return wrong("effect", effect, "safe, keyed or unsafe is wanted")
		} else if effect == "tokened" {
			if repeats := t.Text(at + "repeats"); !slices.Contains([]string{"", "all", "zone", "group"}, repeats) { // "" is the group
				return wrong("group", repeats, "all, zone or cell is wanted for what is keyed")
			}
			if t.Duration(at+"window") <= 0 {
				return wrong("window_us", t.Text(at+"window"), "a time is wanted for what is keyed")
			}
		}
		if t.Duration(at+"soft_deadline") <= 0 {
			return wrong("target_us", t.Text(at+"soft_deadline"), "a time is wanted")
		}
		if need := t.ListItem("family_info.needs", i); !slices.Contains([]string{"any", "bounded", "session", "fresh", "write"}, need) {
			return fmt.Errorf("family_info.class_read is %q for classes.%d: loose, recent, own_writes, latest or update is wanted", need, i)
		} else if need == "bounded" && t.ListItem("family_info.bounds", i) == "" {
			return fmt.Errorf("family_info.lag_allowed_us gives no bound for classes.%d", i)
		}
	}
	return nil
}
