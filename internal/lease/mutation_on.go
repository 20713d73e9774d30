//go:build mutation

package lease

import "os"

var mutation = os.Getenv("PASSTACK_PLANTED")
