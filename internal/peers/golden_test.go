package peers_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"passtack/internal/lease"
	"passtack/internal/peers"
)

var update = flag.Bool("update", false, "rewrite golden files")

// TestGoldenDatagrams checks that datagrams between drivers are encoded as by earlier builds, as drivers of several versions run side by side.
func TestGoldenDatagrams(t *testing.T) {
	const fleet = 0x1122334455667788
	holder := lease.Holder{Node: 0x0102030405060708, Incarnation: 0x1112131415161718}
	message := func(op lease.Op, reason lease.Reason, ttl time.Duration) *lease.Message {
		return &lease.Message{Op: op, Reason: reason, Lease: "watch-discovery", VoterSetVersion: 3, Round: 41, FencingToken: 1_700_000_000_123, TTL: ttl, Holder: holder}
	}
	for name, c := range map[string]struct {
		kind    peers.Kind
		body    []byte
		message *lease.Message // if not nil, encoded as the body
	}{
		"hello":         {kind: peers.Hello},
		"hello-answer":  {kind: peers.Hello, body: []byte{1}},
		"collect":       {kind: peers.CollectDigests},
		"lease-ask":     {kind: peers.Lease, message: message(lease.Request, 0, 5*time.Second)},
		"lease-grant":   {kind: peers.Lease, message: message(lease.Grant, 0, 5*time.Second)},
		"lease-refuse":  {kind: peers.Lease, message: message(lease.Reject, lease.HeldByAnother, 1234*time.Millisecond)},
		"lease-lower":   {kind: peers.Lease, message: message(lease.Reject, lease.StaleToken, 0)},
		"lease-silent":  {kind: peers.Lease, message: message(lease.Reject, lease.VoterStarting, 10*time.Second)},
		"lease-older":   {kind: peers.Lease, message: message(lease.Reject, lease.StaleVoterSet, 10*time.Second)},
		"lease-unkept":  {kind: peers.Lease, message: message(lease.Reject, lease.NotPersisted, 10*time.Second)},
		"lease-release": {kind: peers.Lease, message: message(lease.Release, 0, 0)},
		"lease-free":    {kind: peers.Lease, message: message(lease.Available, 0, 0)},
	} {
		if c.message != nil {
			c.body = lease.AppendMessage(nil, *c.message)
		}
		want := peers.Message{Kind: c.kind, From: uint64(holder.Node), Incarnation: holder.Incarnation, Body: c.body}
		encoded := want.Encode(fleet)
		file := filepath.Join("testdata", name+".datagram")
		if *update {
			if err := os.WriteFile(file, encoded, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		golden, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(encoded, golden) {
			t.Errorf("%s is encoded as %x, want %x", name, encoded, golden)
		}
		got, err := peers.ParseMessage(golden, fleet)
		if err != nil || got.Kind != want.Kind || got.From != want.From || got.Incarnation != want.Incarnation || !bytes.Equal(got.Body, want.Body) {
			t.Errorf("%s is decoded as %+v, %v, want %+v", name, got, err, want)
		}
		if c.message != nil {
			if m, ok := lease.ParseMessage(got.Body); !ok || !reflect.DeepEqual(m, *c.message) {
				t.Errorf("%s is decoded as %+v, %v, want %+v", name, m, ok, *c.message)
			}
		}
	}
}
