// Package proptest runs property-based tests with a fixed seed, so that they give the same result on each run.
package proptest

import (
	"flag"
	"sync"
	"testing"

	"pgregory.net/rapid"
)

// setRapidFlags sets the flags of package rapid. A flag that was set on the command line keeps its value, so that a
// developer can search for failures with another seed.
var setRapidFlags = sync.OnceFunc(func() {
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			flag.Set(name, value)
		}
	}
})

// Check tests the property on many generated cases.
func Check(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	setRapidFlags()
	rapid.Check(t, property)
}
