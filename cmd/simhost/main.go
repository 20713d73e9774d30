// Command simhost serves the decision module to the simulator, over its wire protocol on standard input and output.
package main

import (
	"fmt"
	"os"

	"passtack/internal/simwire"
)

func main() {
	if err := simwire.Serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}
