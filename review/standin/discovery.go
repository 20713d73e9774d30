package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// target is one member on the endpoint list.
type target struct {
	UID      string  `json:"uid"`
	Endpoint string  `json:"endpoint"`
	Zone     string  `json:"az"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Size     float64 `json:"capacity_hint"`
	Started  int64   `json:"boot_ms"`
}

// endpointList is the list as discovery sends it.
type endpointList struct {
	Revision int      `json:"rev"`
	Complete bool     `json:"all"`
	Targets  []target `json:"targets"`
}

// discovery is the agent that tells drivers the members of the cluster.
type discovery struct {
	record  *record
	address string

	list endpointList
}

func startDiscovery(r *record, targets []target) (*discovery, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{record: r, address: listener.Addr().String(), list: endpointList{1, true, targets}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", d.serve)
	go (&http.Server{Handler: mux}).Serve(listener)
	return d, nil
}

// serve answers a call: at once with the complete list, or after the time that the call may be held if it names the list's revision.
func (d *discovery) serve(w http.ResponseWriter, r *http.Request) {
	list := d.list
	if from, err := strconv.Atoi(r.URL.Query().Get("from")); err == nil && from >= list.Revision {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		select {
		case <-time.After(time.Duration(hold) * time.Millisecond):
			list.Complete, list.Targets = false, []target{}
		case <-r.Context().Done():
			return
		}
	}
	body, _ := json.Marshal(list)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
	d.record.add("discovery  told the driver list rev=%d all=%v entries=%d", list.Revision, list.Complete, len(list.Targets))
}
