// Package seeded is for tests: it draws from one seed, so that they give the same verdict each time.
package seeded

import (
	"flag"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

var fix = sync.OnceFunc(func() {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue { // who hunts may give another seed
			flag.Set(name, value)
		}
	}
})

// Check tries the property on many drawn cases.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	fix()
	rapid.Check(t, property)
}
