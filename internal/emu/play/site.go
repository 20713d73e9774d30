package play

import (
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
)

// Free finds addresses of this machine's loopback that are free now.
func Free(n int) (places []netip.AddrPort, err error) {
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		places = append(places, l.Addr().(*net.TCPAddr).AddrPort())
	}
	return places, nil
}

// Told is what one driver of a script is started with.
type Told struct {
	Name              string
	Number            int
	Listen, Discovery netip.AddrPort
	Seed              uint64
	Known             []byte
	PeerListen        netip.AddrPort // invalid: drivers do not talk
	PeerAll           netip.AddrPort
	Peers             []netip.AddrPort
}

// SiteJSON is the file that a driver of the script is started with.
func (s *Script) SiteJSON(t Told) []byte {
	settings := make(map[string]any)
	methods := make([]map[string]any, len(s.Methods))
	for i := range methods {
		methods[i] = make(map[string]any)
	}
	set := func(in map[string]any, name, value string) {
		if items := strings.Split(value, ","); name == "needs" || name == "bounds" || name == "columns" || name == "zones" {
			list := make([]any, len(items))
			for i, item := range items {
				list[i] = plain(item)
			}
			in[name] = list
			return
		}
		in[name] = plain(value)
	}
	for path, value := range s.Terms(t.Number) {
		parts := strings.Split(path, ".")
		switch {
		case path == "methods.count":
		case parts[0] == "methods" && parts[2] == "repeats": // in the platform's words, as the project's mean another there
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
	told := map[string]any{
		"name": t.Name, "listen": t.Listen.String(), "discovery": t.Discovery.String(), "seed": fmt.Sprintf("%016x", t.Seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": json.RawMessage(t.Known), "settings": settings,
	}
	if t.PeerListen.IsValid() {
		told["peer_listen"], told["peers_all"], told["peers"] = t.PeerListen, t.PeerAll, t.Peers
	}
	text, _ := json.MarshalIndent(told, "", " ")
	return text
}

// plain gives a value as JSON has it.
func plain(text string) any {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n
	}
	if text == "true" || text == "false" {
		return text == "true"
	}
	return text
}
