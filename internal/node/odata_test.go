package node

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"passtack/internal/pcg"
)

// odataSet returns an entity set for the operator's file. It has statements only if members speak PostgreSQL's protocol.
func odataSet(name, read, groups string, statements bool) string {
	operation := func(name, method, after, statement string) string {
		if after != "" {
			after = fmt.Sprintf("after_write = %q\n", after)
		}
		if statement != "" && statements {
			statement = fmt.Sprintf("statement = %q\n", statement)
		} else {
			statement = ""
		}
		return fmt.Sprintf("operation %q {\nmethod = %q\n%s%s}\n", name, method, after, statement)
	}
	after := ""
	if read != "own" {
		after = "own"
	}
	return fmt.Sprintf("set %q {\nkey = \"Id\"\netag = \"Version\"\npage = 2\ngroups = [%s]\n", name, groups) +
		"property \"Id\" { max_length = 60 }\nproperty \"Status\" { nullable = true }\n" +
		"property \"Version\" {\ntype = \"Edm.Int64\"\nnullable = true\n}\n" +
		operation("read", read, after, "SELECT doc FROM items WHERE id = {key}") +
		operation("list", read, after, "SELECT json_agg(doc) FROM items WHERE {where} ORDER BY {order} LIMIT {top} OFFSET {skip}"+map[string]string{"own": " -- {counted}"}[read]) +
		operation("count", read, after, "SELECT count(*) FROM items WHERE {where}") +
		operation("create", "order", "", "INSERT INTO items (id, doc) VALUES ({key}, {body}) RETURNING doc") +
		operation("update", "order", "", "UPDATE items SET status = {Status} WHERE id = {key} RETURNING doc") +
		operation("replace", "order", "", "UPDATE items SET doc = {body} WHERE id = {key} AND version = {match} RETURNING doc") +
		map[string]string{"own": operation("upsert", "order", "", "INSERT INTO items (id, doc) VALUES ({key}, {body}) ON CONFLICT (id) DO UPDATE SET doc = {body} RETURNING doc")}[read] +
		operation("delete", "pay", "", "DELETE FROM items WHERE id = {key} RETURNING doc") + "}\n"
}

// officesConfig returns an operator's file with an OData front that has two entity sets; more is added to the front.
func officesConfig(odataAddress, more string, statements bool) string {
	members := ""
	if !statements {
		members = "members \"odata\" { groups = [0] }\n"
	}
	return fmt.Sprintf("%sfront \"odata\" \"offices\" {\nlisten = %q\nroot = \"/odata/\"\n%s%s%s}\n", members, odataAddress, more,
		odataSet("Applications", "look", "0", statements), odataSet("Mine", "own", "0", statements))
}

// serveOData starts a driver with listeners for both protocols and returns the address of the OData listener.
func serveOData(t testing.TB, discovery string, sockets int, g *fakeCluster, more string) (d *runningDriver, odataAddress string) {
	t.Helper()
	n := buildDriverWithConfig(t, discovery, sockets, endpointList(1, true, g.targets()...), testSettings, func(free string) string {
		odataAddress = free
		return officesConfig(free, more, g.protocol == "pg")
	})
	return runDriver(t, n), odataAddress
}

// alwaysFault returns a faultFor of a fakeCluster that gives each attempt the same fault.
func alwaysFault(f memberFault) func(*memberCall, int) memberFault {
	return func(*memberCall, int) memberFault { return f }
}

// Each kind of OData request, valid or not, must be answered with the right status, whatever protocol members speak.
func TestODataRequests(t *testing.T) {
	for _, protocol := range []string{"pg", "odata"} {
		t.Run(protocol, func(t *testing.T) {
			g := startFakeCluster(t, protocol, 2, alwaysFault(faultNone))
			d, odataAddress := serveOData(t, "", 200, g, "")
			c := dialHTTP(t, odataAddress)
			const entity = `{"Id":"a","Status":"sent","Version":7}`
			for _, q := range []struct {
				verb, target, body string
				fields             []string
				status             int
				want               string
			}{
				{"GET", "", "", nil, 200, `"name":"Applications"`},
				{"GET", "$metadata", "", nil, 200, `<EntityType Name="Application">`},
				{"GET", "$metadata?$format=json", "", nil, 200, `"$EntityContainer":"Service.Container"`},
				{"GET", "$metadata", "", []string{"Accept: application/json"}, 200, `"$Version":"4.01"`},
				{"GET", "Applications('a')", "", nil, 200, `"Status":"sent"`},
				{"HEAD", "Applications('a')", "", nil, 200, ""},
				{"POST", "Applications", entity, nil, 201, `"Id":"a"`},
				{"PATCH", "Applications('a')", `{"Status":"x"}`, []string{"Prefer: return=representation"}, 200, `"Status":"sent"`},
				{"DELETE", "Applications('a')", "", nil, 204, ""},
				{"GET", "Nobody", "", nil, 404, "there is no entity set Nobody"},
				{"GET", "Applications?$expand=x", "", nil, 501, "$expand is not offered"},
				{"GET", "Applications?$filter=Status eq 5", "", nil, 400, ""},
				{"GET", "Applications?$filter=Status%20eq%205", "", nil, 400, "eq compares"},
				{"POST", "Applications('a')", entity, nil, 405, "does not fit"},
				{"BREW", "Applications", "", nil, 501, "BREW"},
				{"OPTIONS", "Applications", "", nil, 204, ""},
				{"GET", "Applications('a')", "", []string{"Accept: text/html"}, 406, "application/json"},
				{"GET", "Applications('a')", "", []string{"Accept: text/html, application/*;q=0.1"}, 200, "sent"},
				{"POST", "Applications", "x=y", []string{"Content-Type: application/x-www-form-urlencoded"}, 415, "application/json"},
				{"POST", "Applications", `{"Id":"a","Other":1}`, nil, 400, "no property Other"},
				{"GET", "Applications('a')", "", []string{"OData-Version: 3.0"}, 400, "OData-Version"},
				{"GET", "Applications('a')", "", []string{"OData-MaxVersion: 3.0"}, 400, "OData-MaxVersion"},
				{"POST", "Applications", entity, []string{"Repeatability-Request-ID: x"}, 400, "belong together"},
				{"DELETE", "Applications('a')", "", []string{"Repeatability-Request-ID: x", "Repeatability-First-Sent: Tue, 01 Dec 2026 10:00:00 GMT"}, 501, "repeatable delete"},
			} {
				got := c.do(q.verb, q.target, q.body, q.fields...)
				if strings.Contains(q.target, " ") { // an unencoded space in the target makes the driver close the connection
					c = dialHTTP(t, odataAddress)
				}
				if got.status != q.status || !strings.Contains(got.body, q.want) || got.header.Get("OData-Version") != "4.01" {
					t.Errorf("%s %s %v: status %d, %v, %s", q.verb, q.target, q.fields, got.status, got.header, got.body)
				}
				if got.status >= 400 && !json.Valid([]byte(got.body)) {
					t.Errorf("%s %s: the error %q is not valid JSON", q.verb, q.target, got.body)
				}
			}
			if head := c.do("HEAD", "Applications('a')", ""); head.header.Get("Content-Length") == "0" || head.header.Get("Date") == "" {
				t.Errorf("HEAD was answered with the header %v", head.header)
			}
			created := c.do("POST", "Applications", entity, "OData-MaxVersion: 4.0")
			if created.header.Get("Location") != "/odata/Applications('a')" || created.header.Get("Session-Position") == "" ||
				created.header.Get("OData-Version") != "4.0" {
				t.Errorf("a create was answered with the header %v", created.header)
			}
			d.stop()
			if d.rpcs.Len() != 0 || d.counters["rpcs_overdue"] != 0 || d.counters["attempts_sent"] != d.outcomes() {
				t.Errorf("RPCs left over, overdue or wrongly counted, counters %v", d.counters)
			}
			for _, call := range g.receivedCalls() {
				if call.write != (call.token != "") || call.id == "" {
					t.Errorf("a member received a call without an id, or with a token that does not fit its kind: %+v", call)
				}
			}
		})
	}
}

// For members that take statements, the listener itself must compute pages, projections, ETags and conditions.
func TestODataOverStatements(t *testing.T) {
	g := startFakeCluster(t, "pg", 1, alwaysFault(faultNone))
	g.values = func(c *memberCall) string {
		switch {
		case strings.HasSuffix(c.text, "-- TRUE"):
			return `{"count":17,"value":[{"Id":"a"},{"Id":"b"},{"Id":"c"}]}`
		case strings.Contains(c.text, "json_agg"):
			return `[{"Id":"a","Status":"x"},{"Id":"b","Status":"y"},{"Id":"c","Status":null}]`
		case strings.Contains(c.text, "count(*)"):
			return "17"
		case strings.Contains(c.text, "'nobody'"), strings.Contains(c.text, "'99'"):
			return "null"
		case c.key == "odd":
			return "[1]"
		}
		return fmt.Sprintf(`{"Id":%q,"Status":"it's","Version":7}`, c.key)
	}
	_, odataAddress := serveOData(t, "", 100, g, "")
	c := dialHTTP(t, odataAddress)
	for _, q := range []struct {
		verb, target, body string
		fields             []string
		status             int
		want               string
	}{
		{"GET", "Applications", "", nil, 200, `{"@odata.context":"/odata/$metadata#Applications","value":[{"Id":"a","Status":"x"},{"Id":"b","Status":"y"}],"@odata.nextLink":"/odata/Applications?$skip=2"}`},
		{"GET", "Applications?$top=3&$filter=Status%20ne%20'x'", "", nil, 200, `"@odata.nextLink":"/odata/Applications?$filter=Status%20ne%20'x'&$skip=2&$top=1"`},
		{"GET", "Applications?$top=2&$select=Id", "", []string{"Accept: application/json;odata.metadata=none"}, 200, `{"value":[{"Id":"a"},{"Id":"b"}]}`},
		{"GET", "Applications/$count", "", nil, 200, "17"},
		{"GET", "Applications?$count=true", "", nil, 501, "$count beside the items"},
		{"GET", "Mine?$count=true&$select=Id", "", nil, 200, `"@odata.count":17,"value":[{"Id":"a"},{"Id":"b"}],"@odata.nextLink":`},
		{"GET", "Mine?$count=false", "", nil, 200, `"value":[{"Id":"a","Status":"x"}`},
		{"PUT", "Mine('up')", `{"Status":"x"}`, []string{"Prefer: return=representation"}, 200, `"Id":"up"`},
		{"PATCH", "Mine('up')", `{"Status":"x"}`, []string{"If-Match: *"}, 204, ""},
		{"GET", "Applications('a')/Status", "", nil, 200, `"value":"it's"`},
		{"GET", "Applications('a')/Status/$value", "", nil, 200, "it's"},
		{"GET", "Applications('nobody')", "", nil, 404, "no such entity"},
		{"PATCH", "Applications('nobody')", `{"Status":"x"}`, nil, 404, "no such entity"},
		{"POST", "Applications", `{"Id":"nobody"}`, nil, 409, "there is an entity"},
		{"GET", "Applications('odd')", "", nil, 500, "BrokenValue"},
		{"GET", "Applications('a')", "", []string{`If-None-Match: W/"7"`}, 304, ""},
		{"GET", "Applications('a')", "", []string{`If-None-Match: W/"6"`}, 200, `"@odata.etag":"W/\"7\""`},
		{"GET", "Applications('a')", "", []string{`If-Match: W/"6"`}, 412, "another version"},
		{"PUT", "Applications('a')", `{"Status":"x"}`, []string{`If-Match: W/"7"`}, 204, ""},
		{"PUT", "Applications('a')", `{"Status":"x"}`, []string{`If-Match: W/"99"`}, 412, "another version"},
		{"PUT", "Applications('a')", `{"Status":"x"}`, nil, 428, "wants If-Match"},
		{"PUT", "Applications('new')", `{"Status":"x"}`, []string{"If-None-Match: *"}, 201, ""},
		{"PATCH", "Applications('a')", `{"Status":"x"}`, []string{`If-Match: W/"7"`}, 501, "If-Match with a tag"},
		{"PATCH", "Applications('a')", `{"Id":"b"}`, nil, 400, "not the one of the path"},
	} {
		got := c.do(q.verb, q.target, q.body, q.fields...)
		if got.status != q.status || !strings.Contains(got.body, q.want) {
			t.Errorf("%s %s %v: status %d, %s", q.verb, q.target, q.fields, got.status, got.body)
		}
	}
	if got := c.do("POST", "Applications", `{"Id":"x"}`, "Prefer: return=minimal"); got.status != 204 || got.header.Get("OData-EntityId") == "" {
		t.Errorf("create with return=minimal: status %d, %v", got.status, got.header)
	}
	c.do("GET", "Applications('it''s')?$select=Id", "")
	calls := g.receivedCalls()
	upserts := 0
	for _, call := range calls {
		if strings.Contains(call.text, "ON CONFLICT") {
			upserts++
		}
	}
	if upserts != 1 { // with If-Match: * the entity must exist, so that request is an update
		t.Errorf("%d upserts, want 1", upserts)
	}
	if last := calls[len(calls)-1].text; last != "SELECT doc FROM items WHERE id = 'it''s'" {
		t.Errorf("the member received %q", last)
	}
}

// Requests on one connection must be answered in order, however their bytes are split between reads. A request that cannot be parsed must
// end the connection.
func TestODataConnections(t *testing.T) {
	g := startFakeCluster(t, "pg", 1, alwaysFault(faultNone))
	d, odataAddress := serveOData(t, "", 100, g, "limits {\nbody_bytes = 1000\nhead_bytes = 1000\n}\n")
	all := slices.Concat(httpRequest("POST", "Applications", `{"Id":"one"}`), httpRequest("GET", "Applications('two')", ""), httpRequest("GET", "", ""))
	for split := 0; split < len(all); split += 3 {
		c := dialHTTP(t, odataAddress)
		c.Write(all[:split])
		if split%9 == 0 {
			time.Sleep(time.Millisecond)
		}
		c.Write(all[split:])
		if a, b, e := c.readAnswer("POST"), c.readAnswer("GET"), c.readAnswer("GET"); !strings.Contains(a.body, "one") || !strings.Contains(b.body, "two") || e.status != 200 {
			t.Fatalf("split at %d: %s, %s, status %d", split, a.body, b.body, e.status)
		}
		c.Close()
	}
	c := dialHTTP(t, odataAddress)
	c.Write([]byte("POST /odata/Applications HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Type: application/json\r\nContent-Length: 11\r\n\r\n"))
	if line, _ := c.r.ReadString('\n'); line != "HTTP/1.1 100 Continue\r\n" {
		t.Errorf("a client with Expect: 100-continue received %q", line)
	}
	c.r.ReadString('\n')
	c.Write([]byte(`{"Id":"ex"}`))
	if got := c.readAnswer("POST"); got.status != 201 {
		t.Errorf("body after 100 Continue: status %d, %s", got.status, got.body)
	}
	c.Write([]byte("POST /odata/Applications HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n6\r\n{\"Id\":\r\n4\r\n\"c\"}\r\n0\r\n\r\n"))
	if got := c.readAnswer("POST"); got.status != 201 || !strings.Contains(got.body, `"Id":"c"`) {
		t.Errorf("chunked body: status %d, %s", got.status, got.body)
	}
	for text, want := range map[string]int{
		"POST /odata/Applications HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n": 400,
		"GET /odata/Applications HTTP/1.1\r\n\r\n":                                        400,
		"POST /odata/Applications HTTP/1.1\r\nHost: x\r\nContent-Length: 1001\r\n\r\n":    413,
		"GET /odata/ HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("y", 1000) + "\r\n\r\n": 431,
		"\x00\x00\x00\x08\x04\xd2\x16\x2f":                                                400,
		"GET /odata/ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n":                    200,
		"GET /odata/ HTTP/1.0\r\n\r\n":                                                    200,
	} {
		c := dialHTTP(t, odataAddress)
		c.Write([]byte(text))
		if got := c.readAnswer("GET"); got.status != want || !got.last {
			t.Errorf("%.50q: status %d, %v", text, got.status, got.header)
		}
		began := time.Now()
		if got := c.readAnswer("GET"); got.body != "closed" || time.Since(began) > time.Second { // sooner than an idle connection would be closed
			t.Errorf("%.50q: the connection was still open after %v", text, time.Since(began))
		}
	}
	began := time.Now()
	c = dialHTTP(t, odataAddress)
	c.Write([]byte("GET /odata/ HTTP/1.1\r\nHost"))
	if got := c.readAnswer("GET"); got.status != 408 || time.Since(began) < time.Second || time.Since(began) > 4*time.Second {
		t.Errorf("incomplete head: status %d after %v", got.status, time.Since(began))
	}
	d.stop()
	if d.rpcs.Len() != 0 {
		t.Errorf("%d RPCs left over", d.rpcs.Len())
	}
}

// scriptedOperation is one RPC of a scripted run, with the faults of its attempts. Its kind is "read", "own" (a read that must see the
// writes of its session), "write" (idempotent) or "delete" (must not run twice).
type scriptedOperation struct {
	key, kind string
	faults    []memberFault
}

// operationOutcome is the answer that the client received, and how many attempts members received and ran.
type operationOutcome struct {
	answer     string
	ran, calls int
}

var operationKinds = map[string]struct{ pg, method, verb, target, body string }{
	"read":   {"SELECT doc FROM items WHERE id = '%s'", "look", "GET", "Applications('%s')", ""},
	"own":    {"SELECT doc FROM items WHERE id = '%s'", "own", "GET", "Mine('%s')", ""},
	"write":  {"INSERT INTO items (id, doc) VALUES ('%s', 'x') RETURNING doc", "order", "POST", "Applications", `{"Id":"%s"}`},
	"delete": {"DELETE FROM items WHERE id = '%s' RETURNING doc", "pay", "DELETE", "Applications('%s')", ""},
}

// runOperation sends one RPC over a protocol and returns what the client received. A read must see all commits until the time after, if
// that is not zero.
func runOperation(t testing.TB, front string, c *pgClient, h *httpClient, s scriptedOperation, millis int, after time.Time) string {
	k := operationKinds[s.kind]
	position, session := "", "X: y"
	if !after.IsZero() {
		position, session = fmt.Sprintf(",after=%d", after.UnixMilli()), fmt.Sprintf("Session-Position: %d", after.UnixMilli())
	}
	if front == "pg" {
		got := c.query(t, fmt.Sprintf("/* id=%s,c=%s,d=%d,k=token-%s,cluster=0%s */ "+k.pg, s.key, k.method, millis, s.key, position, s.key))
		switch {
		case strings.HasPrefix(got, "ok "):
			return "ok"
		case got == codeRejected:
			return "pushed back"
		case got == codeAborted:
			return "aborted"
		}
		return got
	}
	target, body := k.target, k.body
	if strings.Contains(target, "%s") {
		target = fmt.Sprintf(target, s.key)
	}
	if body != "" {
		body = fmt.Sprintf(body, s.key)
	}
	got := h.do(k.verb, target, body, session, fmt.Sprintf("Deadline-Ms: %d", millis))
	switch {
	case got.status >= 200 && got.status < 300:
		return "ok"
	case got.status == 503:
		return "pushed back"
	case got.status == 500:
		return "aborted"
	}
	return fmt.Sprint(got.status, got.body)
}

// The same script of faults runs with PostgreSQL clients and members, OData clients and members, and OData clients with PostgreSQL
// members. All clients must receive the same answers, members must run the same number of attempts, and no unsafe RPC may run twice.
func TestSameOutcomesOnBothProtocols(t *testing.T) {
	var script []scriptedOperation
	add := func(kind string, faults ...memberFault) {
		script = append(script, scriptedOperation{fmt.Sprintf("k%d", len(script)), kind, faults})
	}
	all := []memberFault{faultNone, faultNotPrimary, faultStale, faultFull, faultError, faultDisconnect, faultDisconnectInAnswer, faultUnreadable, faultTruncated, faultHang}
	for _, kind := range []string{"read", "own", "write", "delete"} {
		for _, f := range all {
			add(kind, f)
			add("read")
			add("write")
			add("own")
		}
	}
	random := pcg.New(20261201)
	for range 24 { // and pairs of faults in a row
		kind := []string{"read", "own", "write", "delete"}[random.Below(4)]
		add(kind, all[1+random.Below(6)], all[1+random.Below(6)])
		add("read")
		add("write")
		add("read")
	}
	results := make(map[string][]operationOutcome)
	var names []string
	var runs sync.WaitGroup
	var mutex sync.Mutex
	for _, pair := range [][2]string{{"pg", "pg"}, {"odata", "odata"}, {"odata", "pg"}} {
		name := pair[0] + " clients, " + pair[1] + " members"
		names = append(names, name)
		faults := make(map[string][]memberFault)
		for _, s := range script {
			faults[s.key] = s.faults
		}
		g := startFakeCluster(t, pair[1], 3, func(c *memberCall, nth int) memberFault {
			if f := faults[c.key]; nth <= len(f) {
				return f[nth-1]
			}
			return faultNone
		})
		d, odataAddress := serveOData(t, "", 200, g, "")
		runs.Go(func() {
			c, h := dialPG(t, d.address), dialHTTP(t, odataAddress)
			var got []operationOutcome
			for _, s := range script {
				answer := runOperation(t, pair[0], c, h, s, 400, time.Time{})
				got = append(got, operationOutcome{answer: answer})
			}
			byKey := make(map[string][]memberCall)
			for _, call := range g.receivedCalls() {
				byKey[call.key] = append(byKey[call.key], call)
			}
			for i, s := range script {
				for _, call := range byKey[s.key] {
					if got[i].calls++; call.ran {
						got[i].ran++
					}
				}
				checkRules(t, name, s, got[i])
			}
			for token, times := range g.effects {
				if strings.HasPrefix(token, "k") && times > 1 {
					t.Errorf("%s: %s had %d effects without a token, want 1 at most", name, token, times)
				}
			}
			mutex.Lock()
			results[name] = got
			mutex.Unlock()
		})
	}
	runs.Wait()
	counts := make(map[string]int)
	for i, s := range script {
		want := results[names[0]][i]
		counts[want.answer]++
		for _, name := range names[1:] {
			if got := results[name][i]; got.answer != want.answer || got.ran != want.ran {
				t.Errorf("%s %s after %v: %s %+v, %s %+v", s.kind, s.key, s.faults, names[0], want, name, got)
			}
		}
	}
	t.Logf("%d RPCs per pair of protocols, answers %v", len(script), counts)
	if counts["ok"] < len(script)/2 || counts["pushed back"] == 0 || counts["aborted"] == 0 {
		t.Errorf("the script does not produce enough answers of each kind: %v", counts)
	}
}

// checkRules checks that the answer that a client received agrees with what members ran.
func checkRules(t *testing.T, name string, s scriptedOperation, o operationOutcome) {
	t.Helper()
	switch {
	case o.answer != "ok" && o.answer != "pushed back" && o.answer != "aborted":
		t.Errorf("%s: %s %s was answered with %s", name, s.kind, s.key, o.answer)
	case s.kind == "delete" && o.ran > 1:
		t.Errorf("%s: %s %s may have run %d times", name, s.kind, s.key, o.ran)
	case (s.kind == "delete" || s.kind == "write") && o.answer == "pushed back" && o.ran > 0:
		t.Errorf("%s: %s %s was pushed back though it may have run", name, s.kind, s.key)
	case o.answer == "ok" && o.ran == 0:
		t.Errorf("%s: %s %s was answered with ok though no attempt ran", name, s.kind, s.key)
	}
}
