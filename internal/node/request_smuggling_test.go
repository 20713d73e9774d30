package node

import (
	"encoding/json"
	"strings"
	"testing"
)

// Guards against a text of a JSON batch that ends a line of the member's request early, so that the member runs a request that the front
// does not offer, and its answer is taken for the next one's.
func TestBatchTargetsCannotSmuggleRequests(t *testing.T) {
	const hidden = " HTTP/1.1\r\nHost: m\r\n\r\nDELETE /Applications('victim')"
	for _, protocol := range []string{"pg", "odata"} {
		t.Run(protocol, func(t *testing.T) {
			g := startFakeCluster(t, protocol, 1, func(*memberCall, int) memberFault { return faultNone })
			_, address := serveOData(t, "", 200, g, "")
			c := dialHTTP(t, address)
			c.do("POST", "Applications", `{"Id":"first"}`) // from the answer the driver learns the primary
			for _, url := range []string{
				"Applications('a')?x=1" + hidden + "?y=", "Applications('a')?$format=json" + hidden, "/odata/Applications('a')?x" + hidden,
				"http://h/odata/Applications('a')?x" + hidden, "Applications('a')?x=\x00", "Applications('a')?x=\u00e4", "Applications('a')?x=\n",
				"Applications('a')?x=" + strings.Repeat("y", 1<<16),
			} {
				for _, verb := range []string{"get", "delete", "get" + hidden} {
					status := batchItemStatus(t, c, map[string]any{"id": "1", "method": verb, "url": url})
					if status < 400 || status >= 500 && status != 501 {
						t.Errorf("%s %.60q was answered %d", verb, url, status)
					}
				}
			}
			headers := map[string]string{"Prefer": "x\x01" + strings.ReplaceAll(hidden, "\r\n", "\v"), "If-None-Match": "W/\"1\""}
			if status := batchItemStatus(t, c, map[string]any{"id": "1", "method": "get", "url": "Applications('b')", "headers": headers}); status != 200 {
				t.Errorf("a read with odd headers was answered %d", status)
			}
			for _, call := range g.receivedCalls() {
				if call.key != "first" && call.key != "b" {
					t.Errorf("the member received %s of %q", call.verb, call.key)
				}
			}
		})
	}
}

// batchItemStatus sends a JSON batch of one request and returns the status of its response, or that of the batch.
func batchItemStatus(t *testing.T, c *httpClient, request map[string]any) int {
	t.Helper()
	body, err := json.Marshal(map[string]any{"requests": []any{request}})
	if err != nil {
		t.Fatal(err)
	}
	got := c.do("POST", "$batch", string(body))
	var answer struct{ Responses []struct{ Status int } }
	if json.Unmarshal([]byte(got.body), &answer); len(answer.Responses) == 1 {
		return answer.Responses[0].Status
	}
	if got.status == 0 {
		t.Fatalf("the batch %.80s was answered: %s", body, got.body)
	}
	return got.status
}
