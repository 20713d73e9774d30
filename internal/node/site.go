package node

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"passtack/internal/config"
	"passtack/internal/settings"
)

// Site is the platform's configuration of a driver: its file, overridden by environment variables.
type Site struct {
	Name                      string
	Listen, Discovery         netip.AddrPort
	PeerListen, PeerBroadcast netip.AddrPort // for messages between drivers; invalid: not configured
	Peers                     []netip.AddrPort
	Seed                      uint64 // of the driver's random numbers
	Descriptors               int    // limit of open descriptors
	Memory                    int64  // limit in bytes
	InitialList               []byte // the endpoint list of the platform's file, JSON
	Settings                  map[string]string

	ConfigFile string // path of the operator's file, "" if there is none

	file          string
	environment   func(string) string
	fileDiscovery netip.AddrPort // address of discovery in the file, without regard to the environment
}

// siteFile is the platform's file. Its keys are compared without regard to case.
type siteFile struct {
	Name, Listen, Discovery, Seed string
	Limits                        struct {
		MemoryMB int64 `json:"memory_mb"`
		Sockets  int
	}
	PeerListen    string `json:"peer_listen"`
	PeerBroadcast string `json:"peers_all"`
	Peers         []string
	InitialList   json.RawMessage `json:"known"`
	Settings      map[string]any
}

// requiredSettings are the settings without which no driver can serve.
var requiredSettings = []string{"methods.count", "methods.0.name", "family_info.needs", "tick"}

// ReadSite reads the platform's file. Environment variables override it.
func ReadSite(file string, environment func(string) string) (*Site, error) {
	var text []byte
	err := retryOnResourceShortage(func() (err error) {
		text, err = os.ReadFile(file)
		return err
	})
	if err != nil {
		return nil, err
	}
	s := &Site{file: file, environment: environment}
	if err := s.parse(text); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

// parse sets the site's values from the text of the platform's file.
func (s *Site) parse(text []byte) error {
	var f siteFile
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.UseNumber()
	if err := decoder.Decode(&f); err != nil {
		return err
	}
	s.Name = s.override("BALANCER_NAME", f.Name)
	s.InitialList, s.Settings = f.InitialList, settings.Flatten(f.Settings)
	s.Descriptors, s.Memory = f.Limits.Sockets, f.Limits.MemoryMB<<20
	var err error
	if s.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed %q is not a hexadecimal number", f.Seed)
	}
	if err := s.parseAddresses(&f); err != nil {
		return err
	}
	if s.Descriptors <= 0 || s.Memory <= 0 {
		return errors.New("limits: sockets and memory_mb must both be positive")
	}
	return s.checkSettings()
}

// override returns the value of an environment variable if it is set, and otherwise the value given.
func (s *Site) override(variable, value string) string {
	if v := s.environment(variable); v != "" {
		return v
	}
	return value
}

func (s *Site) parseAddresses(f *siteFile) error {
	for _, a := range []struct {
		target   *netip.AddrPort
		key      string
		text     string
		optional bool
	}{
		{&s.Listen, "listen", s.override("BALANCER_LISTEN", f.Listen), false},
		{&s.Discovery, "discovery", s.override("BALANCER_DISCOVERY", f.Discovery), false},
		{&s.fileDiscovery, "discovery", f.Discovery, true},
		{&s.PeerListen, "peer_listen", f.PeerListen, true},
		{&s.PeerBroadcast, "peers_all", f.PeerBroadcast, true},
	} {
		if a.text == "" && a.optional {
			continue
		}
		var err error
		if *a.target, err = parseAddress(a.key, a.text); err != nil {
			return err
		}
	}
	for _, text := range f.Peers {
		peer, err := parseAddress("peers", text)
		if err != nil {
			return err
		}
		s.Peers = append(s.Peers, peer)
	}
	return nil
}

func parseAddress(key, text string) (netip.AddrPort, error) {
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		return address, fmt.Errorf("%s %q is not an address with a port: %w", key, text, err)
	}
	return address, nil
}

func (s *Site) checkSettings() error {
	for _, name := range requiredSettings {
		if s.Settings[name] == "" {
			return fmt.Errorf("settings: %s is missing", name)
		}
	}
	if err := settings.New(s.Settings).Validate(); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// ReadConfig reads the operator's file. Without one it returns the default.
func (s *Site) ReadConfig() (cfg *config.File, err error) {
	if s.ConfigFile == "" {
		return config.Default(), nil
	}
	err = retryOnResourceShortage(func() (err error) {
		cfg, err = config.Read(s.ConfigFile, s.Listen, methodsOf(s.Settings))
		return err
	})
	return cfg, err
}

// ParseConfig parses the text of an operator's file. Errors refer to the file by the given name.
func (s *Site) ParseConfig(text []byte, name string) (*config.File, error) {
	return config.Parse(text, name, s.Listen, methodsOf(s.Settings))
}

// methodsOf returns the methods of the settings, against which the operator's file is checked. Retired methods have no name.
func methodsOf(values map[string]string) []config.Method {
	parsed := settings.New(values)
	var methods []config.Method
	for i := range int(parsed.Number("methods.count", 0)) {
		prefix := "methods." + strconv.Itoa(i) + "."
		name := parsed.Text(prefix + "name")
		if parsed.Bool(prefix + settings.RetiredKey) {
			name = ""
		}
		effect := parsed.Text(prefix + "effect")
		methods = append(methods, config.Method{
			Name: name, Need: parsed.ListItem("family_info.needs", i), Idempotent: effect == "idempotent",
			HasIdempotencyKey: effect == "tokened", Window: parsed.Duration(prefix + "window"), SoftDeadline: parsed.Duration(prefix + "soft_deadline"),
			MaxDeadline: parsed.Duration(prefix + "limit"),
		})
	}
	return methods
}

// A reload reads the platform's file up to rereadAttempts times, rereadInterval apart, because the file may be half written.
const (
	rereadAttempts = 5
	rereadInterval = 100 * time.Millisecond
)

// reread reads the platform's file again. An address of discovery in the file takes precedence over the environment, which does not change
// after the start and is therefore older.
func (s *Site) reread() (fresh *Site, err error) {
	for range rereadAttempts {
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

// siteMethods holds the methods of the settings in columns, indexed by method number.
type siteMethods struct {
	names     []string
	inSession []bool // the method reads from or writes a session's position
	tokened   []bool // RPCs carry an idempotency key
	retired   []bool // clients may no longer use the method
}

func (s *Site) methods() siteMethods {
	parsed := settings.New(s.Settings)
	var m siteMethods
	for i := range int(parsed.Number("methods.count", 0)) {
		prefix := "methods." + strconv.Itoa(i)
		need := parsed.ListItem("family_info.needs", i)
		m.names = append(m.names, parsed.Text(prefix+".name"))
		m.inSession = append(m.inSession, need == "session" || need == "write")
		m.tokened = append(m.tokened, parsed.Text(prefix+".effect") == "tokened")
		m.retired = append(m.retired, parsed.Bool(prefix+"."+settings.RetiredKey))
	}
	return m
}

// maxDeadline returns the longest time for which the settings let a client wait for an answer.
func (s *Site) maxDeadline() (longest time.Duration) {
	parsed := settings.New(s.Settings)
	for i := range int(parsed.Number("methods.count", 0)) {
		longest = max(longest, parsed.Duration("methods."+strconv.Itoa(i)+".limit"))
	}
	return longest
}

// duration returns a duration of the settings, or the default value if they have none.
func (s *Site) duration(name string, defaultValue time.Duration) time.Duration {
	if d := settings.New(s.Settings).Duration(name); d > 0 {
		return d
	}
	return defaultValue
}

// reportColumns returns the names of the values in members' load reports.
func (s *Site) reportColumns() []string { return strings.Split(s.Settings["report.columns"], ",") }
