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

// stateShow prints what a driver keeps in its folder.
type stateShow struct {
	Folder string `arg:"" help:"The folder, as the operator's file names it." type:"existingdir"`
	JSON   bool   `help:"As JSON."`
}

func (c *stateShow) Run() error {
	r, _, found, err := lookAt(c.Folder)
	if err != nil {
		return err
	}
	if c.JSON {
		out := json.NewEncoder(os.Stdout)
		out.SetIndent("", " ")
		return out.Encode(map[string]any{"saved": r.SavedAt, "members": r.Members, "sessions": r.writes, "list": json.RawMessage(r.EndpointList()),
			"repeats": counts(r.Requests), "lost": found.Unreadable})
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "saved\t%s\n", when(r.SavedAt))
	fmt.Fprintf(w, "member\tposition\treplica\tlatencies seen\tagainst the usual\n")
	for _, uid := range slices.Sorted(maps.Keys(r.Members)) {
		k := r.Members[uid]
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.2f\n", uid, when(k.Position), when(k.Replica), when(k.Timed), k.Ratio)
	}
	fmt.Fprintf(w, "sessions\t%d\n", len(r.writes))
	fmt.Fprintf(w, "list\trevision %d, %d entries\n", r.ListVersion.Revision, len(r.Endpoints))
	for _, front := range slices.Sorted(maps.Keys(r.Requests)) {
		fmt.Fprintf(w, "repeats of %s\t%d\n", front, len(r.Requests[front]))
	}
	return w.Flush()
}

func counts(repeats map[string][][]byte) map[string]int {
	all := make(map[string]int)
	for front, entries := range repeats {
		all[front] = len(entries)
	}
	return all
}

// when is a time of a driver, which counts from the start of Unix time.
func when(t time.Duration) string {
	if t <= 0 {
		return "never"
	}
	return time.Unix(0, int64(t)).UTC().Format(time.RFC3339Nano)
}

// found is what a folder holds, with the latest write of each session.
type found struct {
	*persist.LearnedState
	writes map[driver.Session]time.Duration
}

func lookAt(path string) (*found, uint64, storage.RecoveryReport, error) {
	folder, err := storage.OpenDirectory(path)
	if err != nil {
		return nil, 0, storage.RecoveryReport{}, err
	}
	s, whole, err := storage.OpenReadOnly(folder)
	if err != nil {
		return nil, 0, whole, err
	}
	f := &found{persist.Restore(s), make(map[driver.Session]time.Duration)}
	persist.ForEachSessionWrite(s, func(who driver.Session, commit time.Duration) { f.writes[who] = max(f.writes[who], commit) })
	return f, s.Owner(), whole, nil
}

// stateVerify reads a folder as a driver would.
type stateVerify struct {
	Folder string `arg:"" help:"The folder, as the operator's file names it." type:"existingdir"`
}

func (c *stateVerify) Run() error {
	r, _, found, err := lookAt(c.Folder)
	if err != nil {
		return err
	}
	fmt.Printf("snapshot=%d values=%d members=%d sessions=%d listed=%d saved=%s\n", found.SnapshotSequence, found.Values, len(r.Members), len(r.writes), len(r.Endpoints), when(r.SavedAt))
	if len(found.Unreadable) > 0 {
		return errors.New(strings.Join(found.Unreadable, "\n"))
	}
	return nil
}

// stateExport writes what a folder holds as CSV.
type stateExport struct {
	Folder string `arg:"" help:"The folder, as the operator's file names it." type:"existingdir"`
	Of     string `help:"What is written: members or sessions." enum:"members,sessions" default:"members"`
}

func (c *stateExport) Run() error {
	r, _, _, err := lookAt(c.Folder)
	if err != nil {
		return err
	}
	out := csv.NewWriter(os.Stdout)
	if c.Of == "sessions" {
		out.Write([]string{"session", "commit_ns"})
		for _, who := range slices.Sorted(maps.Keys(r.writes)) {
			out.Write([]string{strconv.FormatUint(uint64(who), 16), strconv.FormatInt(int64(r.writes[who]), 10)})
		}
	} else {
		out.Write([]string{"member", "position_ns", "replica_ns", "timed_ns", "ratio"})
		for _, uid := range slices.Sorted(maps.Keys(r.Members)) {
			k := r.Members[uid]
			row := []string{uid}
			for _, t := range []time.Duration{k.Position, k.Replica, k.Timed} {
				row = append(row, strconv.FormatInt(max(int64(t), 0), 10))
			}
			out.Write(append(row, strconv.FormatFloat(k.Ratio, 'g', -1, 64)))
		}
	}
	out.Flush()
	return out.Error()
}

// statePrune takes out what is old.
type statePrune struct {
	Folder string        `arg:"" help:"The folder, as the operator's file names it." type:"existingdir"`
	Older  time.Duration `help:"What has not changed for so long goes." default:"24h"`
}

func (c *statePrune) Run() error {
	_, owner, _, err := lookAt(c.Folder)
	if err != nil {
		return err
	}
	result, err := persist.Prune(c.Folder, owner, c.Older, time.Duration(time.Now().UnixNano()), 1<<30)
	if err != nil {
		return err
	}
	fmt.Printf("bytes_before=%d bytes_after=%d\n", result.SizeBefore, result.SizeAfter)
	return nil
}
