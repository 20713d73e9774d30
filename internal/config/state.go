package config

import (
	"time"

	"github.com/hashicorp/hcl/v2"
)

// State configures how a driver persists its learned state.
type State struct {
	DataDir      string
	SaveInterval time.Duration // time between two commits
	MaxBytes     int           // maximum size of the directory
}

// state reads the block that configures where learned state is persisted.
func (r *reader) state(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"folder", "every", "most_kb"})
	if c == nil {
		return
	}
	f.State = &State{
		DataDir:      r.dataDir(c, true),
		SaveInterval: r.durationOf(c, "every", time.Second, 100*time.Millisecond, time.Hour),
		MaxBytes:     r.intOf(c, "most_kb", 32<<10, 64, 1<<20) << 10,
	}
}
