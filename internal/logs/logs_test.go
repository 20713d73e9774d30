package logs

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
)

// Guards against a crash of the process when one goroutine closes the log and another is about to write a record.
func TestRecordsAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	lines := Start(&out)
	logger := slog.Default()
	logger.Info("early")
	lines.Close()
	logger.Info("late")
	if text := out.String(); !strings.Contains(text, "event=early") || strings.Contains(text, "late") || lines.Dropped.Load() != 1 {
		t.Errorf("%d lines dropped, written: %q", lines.Dropped.Load(), text)
	}
}
