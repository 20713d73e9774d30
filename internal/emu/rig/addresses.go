package rig

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// addresses allocates loopback addresses. Each play reserves its own block 127.x.0.0/16, so that the local port of an
// outgoing connection never takes an address on which a process will listen later.
type addresses struct {
	block       byte
	lastHost    int
	reservation net.Listener // listener that reserves the block for this play
}

const (
	firstBlock  = 64 // second byte of the address; lower blocks are often in use by other software
	blockCount  = 190
	addressPort = 7000
	blockStride = 37 // distance between the first blocks that two processes try
)

var poolCount atomic.Int64

// newAddresses reserves a block that no other play uses.
func newAddresses() (*addresses, error) {
	offset := os.Getpid()*blockStride + int(poolCount.Add(1)) // not the previous block: drivers that are about to exit may still use it
	for n := range blockCount {
		block := byte(firstBlock + (offset+n)%blockCount)
		reservation, err := net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, block, 255, 254}), addressPort).String())
		if err == nil {
			return &addresses{block: block, reservation: reservation}, nil
		}
	}
	return nil, errors.New("no free block of loopback addresses: other plays use all of them")
}

func (a *addresses) next() netip.AddrPort {
	a.lastHost++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, a.block, byte(a.lastHost >> 8), byte(a.lastHost)}), addressPort)
}
