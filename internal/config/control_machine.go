package config

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"passtack/internal/rollout/server"
)

// ErrNoControlMachine is returned for a file that is no control machine's.
var ErrNoControlMachine = errors.New("it has no block control_machine")

// ReadMachine reads the file of a control machine.
func ReadMachine(name string) (*server.MachineConfig, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	f, err := Parse(text, name, netip.AddrPort{}, nil)
	if err != nil {
		return nil, err
	}
	if f.ControlMachine == nil {
		return nil, fmt.Errorf("%s: %w", name, ErrNoControlMachine)
	}
	return f.ControlMachine, nil
}

// controlMachine reads what a control machine needs to know of itself and of the others.
func (r *reader) controlMachine(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "listen", "folder"}, hcl.BlockHeaderSchema{Type: "peer", LabelNames: []string{"name"}})
	if c == nil {
		return
	}
	m := &server.MachineConfig{Name: b.Labels[0]}
	if !namePattern.MatchString(m.Name) {
		r.addError(b.LabelRanges[0], "a machine's name of other than letters, digits, dots and dashes (%q)", m.Name)
	}
	m.Fleet, _ = r.fleet(c)
	m.DataDir = r.dataDir(c, true)
	var at hcl.Range
	if m.Listen, at = r.addressOf(c, "listen"); m.Listen.IsValid() {
		r.reserveAddress(m.Listen, at, "the control machine")
	}
	names := []string{m.Name}
	for _, peer := range c.Blocks {
		in := r.content(peer.Body, []string{"at"})
		if in == nil {
			continue
		}
		name := peer.Labels[0]
		if slices.Contains(names, name) || !namePattern.MatchString(name) {
			r.addError(peer.LabelRanges[0], "a peer's name that is given twice or cannot be (%q)", name)
		}
		names = append(names, name)
		address, _ := r.addressOf(in, "at")
		m.Peers = append(m.Peers, server.Peer{Name: name, Address: address})
	}
	if n := len(m.Peers); n != 2 && n != 4 {
		r.addError(b.DefRange, "%d blocks peer; two or four are wanted", n)
	}
	f.ControlMachine = m
}
