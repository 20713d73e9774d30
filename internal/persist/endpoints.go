package persist

import (
	"encoding/json"
	"net/netip"
	"time"
)

// ListVersion identifies an endpoint list.
type ListVersion struct {
	Revision  int64
	Discovery netip.AddrPort // address of the discovery server that published the list
}

func (v ListVersion) encode() []byte {
	return append(appendDuration(nil, time.Duration(v.Revision)), v.Discovery.String()...)
}

// decodeListVersion returns the zero version for a value that is too short to have been written by encode.
func decodeListVersion(in []byte) (v ListVersion) {
	if len(in) <= numberSize {
		return v
	}
	v.Revision = int64(durationAt(in, 0))
	v.Discovery, _ = netip.ParseAddrPort(string(in[numberSize:]))
	return v
}

// EndpointList returns the restored endpoint list in the form of a discovery response, nil if none was saved.
func (l *LearnedState) EndpointList() []byte {
	if l.ListVersion.Revision == 0 {
		return nil
	}
	endpoints := make([]json.RawMessage, len(l.Endpoints))
	for i, e := range l.Endpoints {
		endpoints[i] = e
	}
	body, err := json.Marshal(map[string]any{"rev": l.ListVersion.Revision, "all": true, "targets": endpoints})
	if err != nil {
		return nil
	}
	return body
}
