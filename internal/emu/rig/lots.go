package rig

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
)

// lots deals out addresses of this machine's loopback. Each play has a block of its own, 127.x.0.0/16, so that no connection
// that goes out takes a port that somebody is to listen at later.
type lots struct {
	block byte
	last  int
	claim net.Listener // holds the block for this play
}

const (
	firstBlock = 64 // of the loopback's; those below are used by people
	blocks     = 190
	lotPort    = 7000
	stride     = 37 // between the first blocks of two players
)

var claims atomic.Int64

// claim takes a block that no other play has.
func claim() (*lots, error) {
	from := os.Getpid()*stride + int(claims.Add(1)) // the latest block may still be held by drivers that are about to end
	for n := range blocks {
		block := byte(firstBlock + (from+n)%blocks)
		held, err := net.Listen("tcp", netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, block, 255, 254}), lotPort).String())
		if err == nil {
			return &lots{block: block, claim: held}, nil
		}
	}
	return nil, errors.New("no block of loopback addresses is free")
}

func (l *lots) next() netip.AddrPort {
	l.last++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, l.block, byte(l.last >> 8), byte(l.last)}), lotPort)
}
