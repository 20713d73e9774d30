package play

import (
	"strings"
	"testing"
	"time"
)

// Guards against a task timer for each term: a holder that loses its lease repeatedly and soon has it back must send
// summaries at the configured interval.
func TestReturningLeaseHolderKeepsSummaryInterval(t *testing.T) {
	text := `lasts = "40s"
fleet {
  drivers = 4
  members = 2
  peers = true
}
load {
  rate = 10
  method "look" {
    need  = "any"
    work  = "2ms..4ms"
    soft  = "1s"
    limit = "2s"
    share = 1
  }
}
leases {
  voters  = [0, 1, 2]
  askers  = [3]
  lasts   = "1s"
  summary = "3s"
}
`
	for _, at := range []string{"4s", "7s", "10s", "13s"} {
		text += strings.Replace("trouble \"cut\" {\n  at = \"AT\"\n  lasts = \"1100ms\"\n  from = [\"d3\"]\n  to = [\"d0..2\"]\n}\n", "AT", at, 1)
	}
	s, err := ParseScript([]byte(text), "back.hcl")
	if err != nil {
		t.Fatal(err)
	}
	r, err := Rehearse(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	acts := 0
	for _, a := range r.FencingServer.Requests {
		if a.ReceivedAt >= epoch+19*time.Second && a.ReceivedAt < epoch+37*time.Second {
			acts++
		}
	}
	if terms := r.FencingServer.Terms(); terms < 3 || acts < 5 || acts > 7 || len(r.Broken) > 0 {
		t.Errorf("%d terms, %d acts in eighteen seconds, %v", terms, acts, r.Broken)
	}
}
