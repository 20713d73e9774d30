package settings

import (
	"errors"
	"fmt"
	"slices"
)

// Validate returns the first reason why a driver cannot serve the methods of the settings, with the platform's names. If an unknown effect
// were accepted as another one, a method could run twice or always be rejected.
func (s Settings) Validate() error {
	count := s.methodCount()
	if count < 1 {
		return errors.New("classes: there is none, or it is not a list of objects")
	}
	for i := range count {
		if err := s.validateMethod(i); err != nil {
			return err
		}
	}
	return nil
}

func (s Settings) validateMethod(i int) error {
	path := methodPath(i)
	invalid := func(key, value, want string) error {
		return fmt.Errorf("classes.%d.%s is %q: %s", i, key, value, want)
	}
	effect := s.Text(path + "effect")
	if !slices.Contains([]string{"idempotent", "tokened", "non-idempotent"}, effect) {
		return invalid("effect", effect, "safe, keyed or unsafe is wanted")
	}
	if effect == "tokened" {
		repeats := s.Text(path + "repeats")
		if !slices.Contains([]string{"", "all", "zone", "group"}, repeats) { // "" means the group
			return invalid("group", repeats, "all, zone or cell is wanted for what is keyed")
		}
		if s.Duration(path+"window") <= 0 {
			return invalid("window_us", s.Text(path+"window"), "a time is wanted for what is keyed")
		}
	}
	if s.Duration(path+"soft_deadline") <= 0 {
		return invalid("target_us", s.Text(path+"soft_deadline"), "a time is wanted")
	}
	need := s.ListItem("family_info.needs", i)
	if !slices.Contains([]string{"any", "bounded", "session", "fresh", "write"}, need) {
		return fmt.Errorf("family_info.class_read is %q for classes.%d: loose, recent, own_writes, latest or update is wanted", need, i)
	}
	if need == "bounded" && s.ListItem("family_info.bounds", i) == "" {
		return fmt.Errorf("family_info.lag_allowed_us gives no bound for classes.%d", i)
	}
	return nil
}
