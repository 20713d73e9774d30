package main

import (
	"encoding/json"
	"net"
	"net/http"
	"time"
)

// target is an entry of the endpoint list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	Boot     int64   `json:"boot_ms"`
}

// memberEntry returns the entry of a member that serves since long ago.
func memberEntry(uid, endpoint string) target {
	return target{UID: uid, Endpoint: endpoint, Zone: "a", State: "in_service", Size: 1}
}

// serveDiscovery serves an endpoint list that never changes, and returns its address.
func (p *play) serveDiscovery(targets []target) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		watch := r.URL.Query().Get("from") != ""
		if watch && r.URL.Query().Get("from") == "1" {
			hold, _ := time.ParseDuration(r.URL.Query().Get("hold_ms") + "ms")
			select {
			case <-time.After(min(hold, time.Minute)):
			case <-r.Context().Done():
				return
			}
			json.NewEncoder(w).Encode(map[string]any{"rev": 1, "all": false, "targets": []target{}})
			return
		}
		json.NewEncoder(w).Encode(map[string]any{"rev": 1, "all": true, "targets": targets})
	})}
	go server.Serve(l)
	p.closeAll(server)
	return l.Addr().String(), nil
}
