package server

import "net/netip"

// Peer is another control machine of the fleet.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// MachineConfig is the configuration of one control machine.
type MachineConfig struct {
	Fleet, Name string
	Listen      netip.AddrPort
	Peers       []Peer
	DataDir     string // directory of the FileStorage
}
