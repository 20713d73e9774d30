package control

import (
	"fmt"
	"io"
	"net"
	"testing"
)

// Operators' scripts depend on these exact bytes.
func TestGoldenAnswers(t *testing.T) {
	address := serve(t, Handlers{"status": func() any { return map[string]int{"rpcs": 7} }, "broken": func() any { return func() {} }})
	for query, want := range map[string]string{
		"status\n":       "{\"rpcs\":7}\n",
		" status \r\n":   "{\"rpcs\":7}\n",
		"status\nmore\n": "{\"rpcs\":7}\n",
		"weather\n":      "{\"error\":\"there is nothing to tell of \\\"weather\\\"\"}\n",
		"broken\n":       "{\"error\":\"json: unsupported type: func()\"}\n",
	} {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(c, query)
		if got, err := io.ReadAll(c); err != nil || string(got) != want {
			t.Errorf("%q is answered %q, want %q: %v", query, got, want, err)
		}
		c.Close()
	}
}
