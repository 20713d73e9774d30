package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"passtack/driver"
)

// ErrMalformedList is wrapped by errors about lists that cannot be used. No part of such a list is reported to the host.
var ErrMalformedList = errors.New("malformed endpoint list")

// removedState is the state of a member that was removed.
const removedState = "terminated"

var states = map[string]driver.MemberState{
	"in_service": driver.Ready, "terminating": driver.Draining, removedState: driver.Gone,
}

// endpointList is a response from discovery.
type endpointList struct {
	Revision *int64   `json:"rev"`
	Complete bool     `json:"all"` // it has every member, not only those that changed
	Targets  []target `json:"targets"`
}

// target is one entry. Stored entries are encoded with the same tags.
type target struct {
	UID      string       `json:"UID"`
	Endpoint string       `json:"Endpoint"`
	Zone     string       `json:"az"`
	Group    driver.Group `json:"pod_group"`
	State    string       `json:"State"`
	Size     float64      `json:"capacity_hint"`
	Started  float64      `json:"boot_ms"`
	Role     string       `json:"Role"`
}

// parseList parses a list and the addresses of its targets.
func parseList(body []byte) (list endpointList, addresses []netip.AddrPort, err error) {
	if err := json.Unmarshal(body, &list); err != nil {
		return list, nil, fmt.Errorf("%w: %w", ErrMalformedList, err)
	}
	if list.Revision == nil {
		return list, nil, fmt.Errorf("%w: the revision is missing", ErrMalformedList)
	}
	addresses = make([]netip.AddrPort, len(list.Targets))
	for i, t := range list.Targets {
		var err error
		addresses[i], err = netip.ParseAddrPort(t.Endpoint)
		if _, ok := states[t.State]; !ok || t.UID == "" || err != nil && t.State != removedState {
			return list, nil, fmt.Errorf("%w: entry %d needs a uid, a known state and an address: uid %q, state %q, endpoint %q", ErrMalformedList, i, t.UID, t.State, t.Endpoint)
		}
	}
	return list, addresses, nil
}

// apply reports a list to the host, or returns an error if the list is malformed. A list that was stored earlier is reported as
// cached.
func (c *Client) apply(body []byte, cached bool) error {
	list, addresses, err := parseList(body)
	if err != nil {
		return err
	}
	kind := driver.Changes
	if cached {
		kind = driver.Cached
	} else if list.Complete {
		kind = driver.Complete
	}
	c.revision = *list.Revision
	if c.OnList != nil {
		c.OnList(c.revision, list.Complete, encodeEntries(list.Targets))
	}
	c.host.ListBegins(kind)
	for i, t := range list.Targets {
		started := driver.LongAgo
		if t.Started > 0 {
			started = time.Duration(t.Started) * time.Millisecond
		}
		c.host.Listed(t.UID, addresses[i], t.Zone, t.Group, states[t.State], t.Size, started, t.Role == "leader")
	}
	c.host.ListEnds(kind)
	return nil
}

// encodeEntries returns the entries by uid as they are stored, nil for those of removed members.
func encodeEntries(targets []target) map[string][]byte {
	entries := make(map[string][]byte, len(targets))
	for _, t := range targets {
		entries[t.UID] = nil
		if text, err := json.Marshal(t); err == nil && states[t.State] != driver.Gone {
			entries[t.UID] = text
		}
	}
	return entries
}
