package main

import (
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"passtack/driver"
	"passtack/internal/persist"
	"passtack/internal/storage"
)

// savedState is what a driver's state directory holds.
type savedState struct {
	*persist.LearnedState
	sessionWrites map[driver.Session]time.Duration // the latest of each session
	owner         uint64
	report        storage.RecoveryReport
}

// readSavedState reads a state directory without locking it, so that its driver may run.
func readSavedState(path string) (*savedState, error) {
	directory, err := storage.OpenDirectory(path)
	if err != nil {
		return nil, err
	}
	store, report, err := storage.OpenReadOnly(directory)
	if err != nil {
		return nil, err
	}
	s := &savedState{
		LearnedState:  persist.Restore(store),
		sessionWrites: make(map[driver.Session]time.Duration),
		owner:         store.Owner(),
		report:        report,
	}
	persist.ForEachSessionWrite(store, func(session driver.Session, writtenAt time.Duration) {
		s.sessionWrites[session] = max(s.sessionWrites[session], writtenAt)
	})
	return s, nil
}

// formatTime formats a driver's time, which counts from the start of Unix time.
func formatTime(t time.Duration) string {
	if t <= 0 {
		return "never"
	}
	return time.Unix(0, int64(t)).UTC().Format(time.RFC3339Nano)
}

// stateShow implements "passtack state show".
type stateShow struct {
	Folder string `arg:"" help:"The state directory, as named in the operator's file." type:"existingdir"`
	JSON   bool   `help:"As JSON."`
}

// Run prints a summary of the saved state.
func (c *stateShow) Run() error {
	s, err := readSavedState(c.Folder)
	if err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON()
	}
	return s.printTable()
}

// savedStateJSON is the answer to "passtack state show --json". Its keys are read by scripts.
type savedStateJSON struct {
	List     json.RawMessage                  `json:"list"`
	Lost     []string                         `json:"lost"`
	Members  map[string]driver.MemberSnapshot `json:"members"`
	Repeats  map[string]int                   `json:"repeats"`
	Saved    time.Duration                    `json:"saved"`
	Sessions map[driver.Session]time.Duration `json:"sessions"`
}

func (s *savedState) printJSON() error {
	requests := make(map[string]int)
	for front, entries := range s.Requests {
		requests[front] = len(entries)
	}
	return printJSON(savedStateJSON{
		List:     s.EndpointList(),
		Lost:     s.report.Unreadable,
		Members:  s.Members,
		Repeats:  requests,
		Saved:    s.SavedAt,
		Sessions: s.sessionWrites,
	})
}

func (s *savedState) printTable() error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "saved\t%s\n", formatTime(s.SavedAt))
	fmt.Fprintf(w, "member\tposition\treplica\tlatencies seen\tagainst the usual\n")
	for _, uid := range slices.Sorted(maps.Keys(s.Members)) {
		k := s.Members[uid]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\n", uid, formatTime(k.Position), formatTime(k.Replica), formatTime(k.Timed), k.Ratio)
	}
	fmt.Fprintf(w, "sessions\t%d\n", len(s.sessionWrites))
	fmt.Fprintf(w, "list\trevision %d, %d entries\n", s.ListVersion.Revision, len(s.Endpoints))
	for _, front := range slices.Sorted(maps.Keys(s.Requests)) {
		fmt.Fprintf(w, "repeats of %s\t%d\n", front, len(s.Requests[front]))
	}
	return w.Flush()
}

// stateVerify implements "passtack state verify". It fails if a file is damaged.
type stateVerify struct {
	Folder string `arg:"" help:"The state directory, as named in the operator's file." type:"existingdir"`
}

// Run fails where a file of the directory cannot be read.
func (c *stateVerify) Run() error {
	s, err := readSavedState(c.Folder)
	if err != nil {
		return err
	}
	fmt.Printf("snapshot=%d values=%d members=%d sessions=%d listed=%d saved=%s\n", s.report.SnapshotSequence, s.report.Values,
		len(s.Members), len(s.sessionWrites), len(s.Endpoints), formatTime(s.SavedAt))
	if len(s.report.Unreadable) > 0 {
		return errors.New(strings.Join(s.report.Unreadable, "\n"))
	}
	return nil
}

// stateExport implements "passtack state export".
type stateExport struct {
	Folder string `arg:"" help:"The state directory, as named in the operator's file." type:"existingdir"`
	Of     string `help:"What to export: members or sessions." enum:"members,sessions" default:"members"`
}

// Run writes the members or sessions as CSV to standard output.
func (c *stateExport) Run() error {
	s, err := readSavedState(c.Folder)
	if err != nil {
		return err
	}
	rows := s.memberRows()
	if c.Of == "sessions" {
		rows = s.sessionRows()
	}
	return csv.NewWriter(os.Stdout).WriteAll(rows)
}

func (s *savedState) memberRows() [][]string {
	rows := [][]string{{"member", "position_ns", "replica_ns", "timed_ns", "ratio"}}
	for _, uid := range slices.Sorted(maps.Keys(s.Members)) {
		k := s.Members[uid]
		rows = append(rows, []string{
			uid,
			formatNanoseconds(k.Position),
			formatNanoseconds(k.Replica),
			formatNanoseconds(k.Timed),
			strconv.FormatFloat(k.Ratio, 'g', -1, 64),
		})
	}
	return rows
}

func (s *savedState) sessionRows() [][]string {
	rows := [][]string{{"session", "commit_ns"}}
	for _, session := range slices.Sorted(maps.Keys(s.sessionWrites)) {
		rows = append(rows, []string{
			strconv.FormatUint(uint64(session), 16),
			formatNanoseconds(s.sessionWrites[session]),
		})
	}
	return rows
}

// formatNanoseconds formats a driver's time; 0 stands for never.
func formatNanoseconds(t time.Duration) string { return strconv.FormatInt(max(int64(t), 0), 10) }

// statePrune implements "passtack state prune".
type statePrune struct {
	Folder string        `arg:"" help:"The state directory, as named in the operator's file." type:"existingdir"`
	Older  time.Duration `help:"Delete members and sessions that have not changed for longer." default:"24h"`
}

// maxPrunedSize is the size in bytes up to which any directory can be pruned: no driver's limit is larger.
const maxPrunedSize = 1 << 30

// Run deletes what has not changed for longer than the limit.
func (c *statePrune) Run() error {
	s, err := readSavedState(c.Folder)
	if err != nil {
		return err
	}
	now := time.Duration(time.Now().UnixNano())
	result, err := persist.Prune(c.Folder, s.owner, c.Older, now, maxPrunedSize)
	if err != nil {
		return err
	}
	fmt.Printf("bytes_before=%d bytes_after=%d\n", result.SizeBefore, result.SizeAfter)
	return nil
}
