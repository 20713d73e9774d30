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

// ErrNoControlMachine is returned for a file that is not the file of a control machine.
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

// controlMachine reads the configuration of a control machine, including its peers.
func (r *reader) controlMachine(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"fleet", "listen", "folder"}, hcl.BlockHeaderSchema{Type: "peer", LabelNames: []string{"name"}})
	if c == nil {
		return
	}
	m := &server.MachineConfig{Name: b.Labels[0]}
	if !namePattern.MatchString(m.Name) {
		r.addError(b.LabelRanges[0], "machine name must be 1 to 64 letters, digits, dots, dashes or underscores, got %q", m.Name)
	}
	m.Fleet, _ = r.fleet(c)
	m.DataDir = r.dataDir(c, true)
	var location hcl.Range
	if m.Listen, location = r.addressOf(c, "listen"); m.Listen.IsValid() {
		r.reserveAddress(m.Listen, location, "the control machine")
	}
	names := []string{m.Name}
	for _, peer := range c.Blocks {
		content := r.content(peer.Body, []string{"at"})
		if content == nil {
			continue
		}
		name := peer.Labels[0]
		if slices.Contains(names, name) || !namePattern.MatchString(name) {
			r.addError(peer.LabelRanges[0], "peer names must be distinct and 1 to 64 letters, digits, dots, dashes or underscores, got %q", name)
		}
		names = append(names, name)
		address, _ := r.addressOf(content, "at")
		m.Peers = append(m.Peers, server.Peer{Name: name, Address: address})
	}
	if n := len(m.Peers); n != 2 && n != 4 {
		r.addError(b.DefRange, "control_machine must have two or four peer blocks, got %d", n)
	}
	f.ControlMachine = m
}
