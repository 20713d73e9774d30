//go:build planted

package lease

import "os"

// plant is the mistake that the environment names.
var plant = os.Getenv("PASSTACK_PLANTED")
