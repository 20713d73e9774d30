package config

import (
	"log/slog"

	"github.com/hashicorp/hcl/v2"
)

var logLevels = map[string]slog.Level{"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError}

// log reads the log level and the sampling limit.
func (r *reader) log(f *File, b *hcl.Block) {
	c := r.content(b.Body, []string{"level", "sample"})
	level, location := r.textOf(c, "level", "info")
	var ok bool
	if f.LogLevel, ok = logLevels[level]; !ok {
		r.addError(location, "level must be debug, info, warn or error, got %q", level)
	}
	f.LogSample = int64(r.intOf(c, "sample", 0, 0, 1_000_000))
}
