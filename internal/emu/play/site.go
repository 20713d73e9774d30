package play

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
)

// FreeAddrs returns loopback addresses that are free at the time of the call.
func FreeAddrs(n int) (addrs []netip.AddrPort, err error) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return addrs, nil
}

// DriverSite holds what differs between the site files of a script's drivers.
type DriverSite struct {
	Name              string
	Number            int
	Listen, Discovery netip.AddrPort
	Seed              uint64
	Known             []byte
	PeerListen        netip.AddrPort // invalid: drivers do not send datagrams to each other
	PeerAll           netip.AddrPort
	Peers             []netip.AddrPort
}

// SiteJSON returns the site file of a driver.
func (s *Script) SiteJSON(t DriverSite) []byte {
	settings := make(map[string]any)
	methods := make([]map[string]any, len(s.Methods))
	for i := range methods {
		methods[i] = make(map[string]any)
	}
	set := func(in map[string]any, name, value string) {
		if items := strings.Split(value, ","); name == "needs" || name == "bounds" || name == "columns" || name == "zones" {
			list := make([]any, len(items))
			for i, item := range items {
				list[i] = jsonValue(item)
			}
			in[name] = list
			return
		}
		in[name] = jsonValue(value)
	}
	for path, value := range s.DriverSettings(t.Number) {
		parts := strings.Split(path, ".")
		switch {
		case path == "methods.count":
		case parts[0] == "methods" && parts[2] == "repeats": // the site file uses the platform's terms, in which repeats has another meaning
			i, _ := strconv.Atoi(parts[1])
			methods[i]["group"] = map[string]string{"group": "cell", "all": "all"}[value]
		case parts[0] == "methods":
			i, _ := strconv.Atoi(parts[1])
			set(methods[i], parts[2], value)
		case len(parts) == 1:
			set(settings, path, value)
		default:
			inner, ok := settings[parts[0]].(map[string]any)
			if !ok {
				inner = make(map[string]any)
				settings[parts[0]] = inner
			}
			set(inner, parts[1], value)
		}
	}
	settings["methods"] = methods
	site := map[string]any{
		"name": t.Name, "listen": t.Listen.String(), "discovery": t.Discovery.String(), "seed": fmt.Sprintf("%016x", t.Seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(t.Known), "settings": settings,
	}
	if t.PeerListen.IsValid() {
		site["peer_listen"], site["peers_all"], site["peers"] = t.PeerListen, t.PeerAll, t.Peers
	}
	text, _ := json.MarshalIndent(site, "", " ")
	return text
}

// jsonValue returns the value as a number or boolean where it is one.
func jsonValue(text string) any {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n
	}
	if text == "true" || text == "false" {
		return text == "true"
	}
	return text
}
