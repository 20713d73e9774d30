package node

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"passtack/internal/operator"
	"passtack/internal/terms"
)

// Site is what a driver is told about the place where it runs.
type Site struct {
	Name                      string
	Listen, Discovery         netip.AddrPort
	PeerListen, PeerBroadcast netip.AddrPort
	Peers                     []netip.AddrPort
	Seed                      uint64
	Descriptors               int
	Memory                    int64 // bytes
	InitialList               []byte
	Settings                  map[string]string

	ConfigFile string // the operator's own file, "": none

	file          string
	environment   func(string) string
	fileDiscovery netip.AddrPort // discovery as the file has it
}

// ReadSite reads the file, over which the environment goes.
func ReadSite(file string, environment func(string) string) (*Site, error) {
	var text []byte
	err := retryOnResourceShortage(func() (err error) {
		text, err = os.ReadFile(file)
		return err
	})
	if err != nil {
		return nil, err
	}
	var told struct {
		Name, Listen, Discovery, Seed string
		Limits                        struct {
			Memory  int64 `json:"memory_mb"`
			Sockets int
		}
		PeerListen string `json:"peer_listen"`
		PeersAll   string `json:"peers_all"`
		Peers      []string
		Known      json.RawMessage
		Settings   map[string]any
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&told); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	s := &Site{
		Name: told.Name, InitialList: told.Known, Settings: terms.Nested(told.Settings),
		Descriptors: told.Limits.Sockets, Memory: told.Limits.Memory << 20, file: file, environment: environment,
	}
	over := func(name, otherwise string) string {
		if value := environment(name); value != "" {
			return value
		}
		return otherwise
	}
	s.Name = over("BALANCER_NAME", s.Name)
	if s.Seed, err = strconv.ParseUint(told.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("%s: seed %q is no number in hex", file, told.Seed)
	}
	if s.Listen, err = parseAddress(file, "listen", over("BALANCER_LISTEN", told.Listen), false); err != nil {
		return nil, err
	}
	if s.Discovery, err = parseAddress(file, "discovery", over("BALANCER_DISCOVERY", told.Discovery), false); err != nil {
		return nil, err
	}
	if s.fileDiscovery, err = parseAddress(file, "discovery", told.Discovery, true); err != nil {
		return nil, err
	}
	if s.PeerListen, err = parseAddress(file, "peer_listen", told.PeerListen, true); err != nil {
		return nil, err
	}
	if s.PeerBroadcast, err = parseAddress(file, "peers_all", told.PeersAll, true); err != nil {
		return nil, err
	}
	for _, text := range told.Peers {
		peer, err := parseAddress(file, "peers", text, false)
		if err != nil {
			return nil, err
		}
		s.Peers = append(s.Peers, peer)
	}
	if s.Descriptors <= 0 || s.Memory <= 0 {
		return nil, fmt.Errorf("%s: limits give no sockets or no memory_mb", file)
	}
	for _, name := range []string{"methods.count", "methods.0.name", "family_info.needs", "tick"} {
		if s.Settings[name] == "" {
			return nil, fmt.Errorf("%s: the settings give no %s", file, name)
		}
	}
	if err := terms.New(s.Settings).Unusable(); err != nil {
		return nil, fmt.Errorf("%s: settings: %w", file, err)
	}
	return s, nil
}

// Wants reads the operator's file, where there is one.
func (s *Site) ReadConfig() (wants *operator.File, err error) {
	if s.ConfigFile == "" {
		return operator.None(), nil
	}
	err = retryOnResourceShortage(func() (err error) {
		wants, err = operator.Read(s.ConfigFile, s.Listen, methodsOf(s.Settings))
		return err
	})
	return wants, err
}

// Parse is Wants of a text.
func (s *Site) ParseConfig(text []byte, name string) (*operator.File, error) {
	return operator.Parse(text, name, s.Listen, methodsOf(s.Settings))
}

// offered is what the operator's file is checked against.
func methodsOf(settings map[string]string) []operator.Method {
	t := terms.New(settings)
	var methods []operator.Method
	for i := range int(t.Number("methods.count", 0)) {
		at := "methods." + strconv.Itoa(i) + "."
		name := t.Text(at + "name")
		if t.Yes(at + terms.Retired) {
			name = ""
		}
		methods = append(methods, operator.Method{
			Name: name, Need: t.Item("family_info.needs", i), Idempotent: t.Text(at+"effect") == "idempotent",
			Tokened: t.Text(at+"effect") == "tokened", Window: t.Span(at + "window"), Soft: t.Span(at + "soft_deadline"),
			Limit: t.Span(at + "limit"),
		})
	}
	return methods
}

const (
	rereadAttempts = 5
	rereadInterval = 100 * time.Millisecond
)

// again reads the file once more. Where the file names another discovery than before, that is newer than what
// the environment says, which stays as it was at the start.
func (s *Site) reread() (fresh *Site, err error) {
	for range rereadAttempts { // it may be half written at that moment
		if fresh, err = ReadSite(s.file, s.environment); err == nil {
			break
		}
		time.Sleep(rereadInterval)
	}
	if err == nil && fresh.fileDiscovery.IsValid() {
		fresh.Discovery = fresh.fileDiscovery
	}
	return fresh, err
}

func parseAddress(file, name, text string, optional bool) (at netip.AddrPort, err error) {
	if text == "" && optional {
		return at, nil
	}
	if at, err = netip.ParseAddrPort(text); err != nil {
		return at, fmt.Errorf("%s: %s %q is no address with a port", file, name, text)
	}
	return at, nil
}

// methods gives the names in order, which of them belong to sessions, which carry a token, and which are asked for no more.
func (s *Site) methods() (names []string, sessions, tokened, retired []bool) {
	t := terms.New(s.Settings)
	for i := range int(t.Number("methods.count", 0)) {
		need := t.Item("family_info.needs", i)
		at := "methods." + strconv.Itoa(i)
		names, retired = append(names, t.Text(at+".name")), append(retired, t.Yes(at+"."+terms.Retired))
		tokened = append(tokened, t.Text(at+".effect") == "tokened")
		sessions = append(sessions, need == "session" || need == "write")
	}
	return names, sessions, tokened, retired
}

// longest is the most that a client waits for an answer.
func (s *Site) maxDeadline() (longest time.Duration) {
	t := terms.New(s.Settings)
	for i := range int(t.Number("methods.count", 0)) {
		longest = max(longest, t.Span("methods."+strconv.Itoa(i)+".limit"))
	}
	return longest
}

func (s *Site) duration(name string, otherwise time.Duration) time.Duration {
	if v := terms.New(s.Settings).Span(name); v > 0 {
		return v
	}
	return otherwise
}

func (s *Site) reportColumns() []string { return strings.Split(s.Settings["report.columns"], ",") }
