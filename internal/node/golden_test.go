package node

import (
	"encoding/json"
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"passtack/driver"
	"passtack/internal/config"
	"passtack/internal/eventloop"
	"passtack/internal/eventloop/sim"
	"passtack/internal/odata"
	"passtack/internal/quota"
	"passtack/internal/settings"
)

var update = flag.Bool("update", false, "rewrite golden files")

// configWithEveryKey reads testdata/every-key.hcl for a driver whose folders are new and empty.
func configWithEveryKey(t *testing.T, site *Site) *config.File {
	t.Helper()
	text, err := os.ReadFile("testdata/every-key.hcl")
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	for _, name := range []string{"learned", "votes", "configuration"} {
		if err := os.Mkdir(filepath.Join(folder, name), 0o700); err != nil {
			t.Fatal(err)
		}
	}
	file, err := site.ParseConfig([]byte(strings.ReplaceAll(string(text), "/FOLDER", folder)), "every-key.hcl")
	if err != nil {
		t.Fatal(err)
	}
	return file
}

// everyKeySite returns the site of a driver for configWithEveryKey.
func everyKeySite(t *testing.T) *Site {
	return &Site{
		Name: "n0", Listen: netip.MustParseAddrPort("10.0.0.1:6543"), Discovery: netip.MustParseAddrPort("10.0.9.1:8500"), Seed: 5,
		PeerListen: netip.MustParseAddrPort("10.0.0.1:7946"), PeerBroadcast: netip.MustParseAddrPort("10.255.255.255:7946"),
		Peers:       []netip.AddrPort{netip.MustParseAddrPort("10.0.0.2:7946"), netip.MustParseAddrPort("10.0.0.3:7946")},
		Descriptors: 256, Memory: 64 << 20, InitialList: []byte(endpointList(1, true)), Settings: settings.Flatten(simSettings(t)),
	}
}

// Each key of the operator's file is read from testdata/every-key.hcl under its own name and with its own meaning.
func TestEveryKeyOfTheOperatorsFileIsRead(t *testing.T) {
	f := configWithEveryKey(t, everyKeySite(t))
	portal, second, offices := f.Listeners[0], f.Listeners[1], f.Listeners[2]
	applications, drafts := offices.OData.Model.Set("Applications"), offices.OData.Model.Set("Drafts")
	version, read := applications.Property("Version"), applications.Operations[odata.Read]
	summary := f.Leases.Tasks[0]
	base := func(folder string) string { return filepath.Base(folder) }
	for _, c := range []struct {
		key       string
		got, want any
	}{
		{"log.level", f.LogLevel, slog.LevelWarn},
		{"log.sample", f.LogSample, int64(51)},
		{"front", []any{len(f.Listeners), portal.Protocol, portal.Name, second.Name, offices.Protocol, offices.Name}, []any{3, "pg", "portal", "second", "odata", "offices"}},
		{"front.listen", []any{portal.Listen.IsValid(), second.Listen.String(), offices.Listen.String()}, []any{false, "10.0.0.1:6544", "10.0.0.1:8080"}},
		{"front.weight", []any{portal.Quota.Weight, second.Quota.Weight, offices.Quota.Weight}, []any{2.5, 1.0, 3.0}},
		{"front.limits.connections", []any{portal.Quota.Limits[quota.Connections], offices.Quota.Limits[quota.Connections]}, []any{101, 201}},
		{"front.limits.rpcs", []any{portal.Quota.Limits[quota.RPCs], offices.Quota.Limits[quota.RPCs]}, []any{102, 202}},
		{"front.limits.memory_kb", []any{portal.Quota.Limits[quota.Bytes], offices.Quota.Limits[quota.Bytes]}, []any{103 << 10, 203 << 10}},
		{"front.limits.target_bytes", offices.OData.HTTP.Target, 1001},
		{"front.limits.head_bytes", offices.OData.HTTP.Head, 1002},
		{"front.limits.fields", offices.OData.HTTP.Fields, 53},
		{"front.limits.body_bytes", offices.OData.HTTP.Body, 1004},
		{"front.limits.batch", offices.OData.MaxBatch, 55},
		{"front.limits.abreast", offices.OData.MaxConcurrent, 6},
		{"front.root", offices.OData.Root, "/odata/"},
		{"front.namespace", offices.OData.Model.Namespace, "Karoo.Two"},
		{"front.repeats.kept", offices.OData.Idempotency.TTL, 7 * time.Minute},
		{"front.repeats.memory_kb", offices.OData.Idempotency.MaxBytes, 1025 << 10},
		{"front.repeats.open", offices.OData.Idempotency.MaxPending, 1026},
		{"front.repeats.sticky", offices.OData.Idempotency.Sticky, true},
		{"set", []any{len(offices.OData.Model.Sets), applications.Name, drafts.Name}, []any{2, "Applications", "Drafts"}},
		{"set.type", []any{applications.Type, drafts.Type}, []any{"Form", "Draft"}},
		{"set.key", applications.Key.Name, "Id"},
		{"set.etag", applications.ETag.Name, "Version"},
		{"set.page", []any{applications.PageSize, drafts.PageSize}, []any{99, 100}},
		{"set.groups", [][]driver.Group{applications.Groups, drafts.Groups}, [][]driver.Group{{0}, {3, 4}}},
		{"property.type", version.Type, odata.Type("Edm.Int64")},
		{"property.nullable", version.Nullable, true},
		{"property.column", version.Column, "revision"},
		{"property.max_length", applications.Key.MaxLength, 64},
		{"operation.method", read.Method, driver.Method(0)},
		{"operation.after_write", read.AfterWrite, driver.Method(1)},
		{"operation.statement", []any{read.Statement.Has("key"), applications.Operations[odata.Create].Statement.Has("body")}, []any{true, true}},
		{"operation of members that speak odata", drafts.Operations[odata.Read].Method, driver.Method(1)},
		{"members.groups", f.Forms, map[driver.Group]driver.Form{3: driver.Requests, 4: driver.Requests}},
		{"members.root", f.MemberRoot, "/v4/"},
		{"members.host", f.MemberHost, "members.example"},
		{"state.folder", base(f.State.DataDir), "learned"},
		{"state.every", f.State.SaveInterval, 1500 * time.Millisecond},
		{"state.most_kb", f.State.MaxBytes, 4097 << 10},
		{"control.listen", f.Control.String(), "127.0.0.1:7070"},
		{"view.fleet", f.Membership.Fleet, "bureau"},
		{"view.every", f.Membership.Interval, 900 * time.Millisecond},
		{"view.connections", f.Membership.MemberConnections, 77},
		{"leases.fleet", f.Leases.Fleet, "bureau"},
		{"leases.version", f.Leases.Version, uint32(3)},
		{"leases.voters", f.Leases.Voters, []string{"n0", "n1", "n2"}},
		{"leases.former", f.Leases.FormerVoters, []string{"n0", "n3", "n4"}},
		{"leases.lasts", f.Leases.TTL, 4 * time.Second},
		{"leases.longest", f.Leases.MaxTTL, 9 * time.Second},
		{"leases.folder", base(f.Leases.DataDir), "votes"},
		{"leases.task", []string{summary.Name, f.Leases.Tasks[1].Name}, []string{"summary", "watch-discovery"}},
		{"leases.task.every", summary.Interval, 2 * time.Second},
		{"leases.task.to", summary.Address.String(), "10.0.7.1:9000"},
		{"leases.task.path", summary.Path, "/summaries"},
		{"configuration.fleet", f.Configuration.Fleet, "bureau"},
		{"configuration.machines", fmt.Sprint(f.Configuration.Machines), "[10.0.8.1:7400 10.0.8.2:7400 10.0.8.3:7400]"},
		{"configuration.folder", base(f.Configuration.DataDir), "configuration"},
	} {
		if !reflect.DeepEqual(c.got, c.want) {
			t.Errorf("%s is read as %v, want %v", c.key, c.got, c.want)
		}
	}
}

// A driver whose file uses every key starts, answers the control endpoint with the keys of testdata/control-keys.txt, and stops.
func TestDriverWithEveryKeyInUse(t *testing.T) {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	site := everyKeySite(t)
	world := sim.New(1, epoch)
	host := world.AddHost("n0")
	l, err := eventloop.NewWithSystem(host, site.Descriptors, 16<<20)
	if err != nil {
		t.Fatal(err)
	}
	n, err := On(l, site, configWithEveryKey(t, site))
	if err != nil {
		t.Fatal(err)
	}
	host.Serve(l, func() {})
	world.Run(epoch + 15*time.Second) // by then a voter has made a grant
	checkKeys(t, n)
	host.Post(n.shutdown.begin)
	world.Run(epoch + 25*time.Second)
	if !n.loop.Stopped() || n.host.fault != nil {
		t.Errorf("stopped: %t, fault: %v", n.loop.Stopped(), n.host.fault)
	}
	n.learned.saveRemaining()
}

// checkKeys compares the JSON keys of all answers of the control endpoint with testdata/control-keys.txt.
func checkKeys(t *testing.T, n *Node) {
	t.Helper()
	const file = "testdata/control-keys.txt"
	handlers := n.controlHandlers()
	var all []string
	for _, query := range []string{"status", "leases", "fleet"} {
		if handlers[query] == nil {
			t.Fatalf("the control endpoint has no handler for %s", query)
		}
		text, err := json.Marshal(handlers[query]())
		if err != nil {
			t.Fatal(err)
		}
		var value any
		if err := json.Unmarshal(text, &value); err != nil {
			t.Fatal(err)
		}
		all = append(all, keyPaths(query, value)...)
	}
	slices.Sort(all)
	got := strings.Join(slices.Compact(all), "\n") + "\n"
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("the keys are\n%s\nwant those of %s:\n%s", got, file, want)
	}
}

// keyPaths returns the paths of all keys in a value. Keys that are names of counters or drivers are replaced by *.
func keyPaths(path string, value any) (paths []string) {
	switch v := value.(type) {
	case map[string]any:
		for key, inner := range v {
			for _, names := range []string{".Counters", ".Why", ".Heard"} {
				if strings.HasSuffix(path, names) {
					key = "*"
				}
			}
			paths = append(paths, path+"."+key)
			paths = append(paths, keyPaths(path+"."+key, inner)...)
		}
	case []any:
		for _, inner := range v {
			paths = append(paths, keyPaths(path+"[]", inner)...)
		}
	}
	return paths
}

// Each key of the sample file for a control machine is read under its own name and with its own meaning.
func TestEveryKeyOfAControlMachinesFileIsRead(t *testing.T) {
	m, err := config.ReadMachine("../../deploy/control.hcl")
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(m.Name, " ", m.Fleet, " ", m.Listen, " ", m.DataDir, " ", m.Peers)
	if want := "c0 bureau 127.0.0.1:7400 /var/lib/passtack/c0 [{c1 127.0.0.2:7400} {c2 127.0.0.3:7400}]"; got != want {
		t.Errorf("read as %s, want %s", got, want)
	}
}
