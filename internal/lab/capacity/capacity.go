// Package capacity measures how what a fleet costs grows with its size. Each sweep plays one axis at a time, in simulated
// time or with processes on loopback, and gives points; slopes are fitted to them.
package capacity

import "context"

// Axis is the size that a sweep changes; all others stay as they are.
type Axis string

const (
	Drivers Axis = "drivers"
	Members Axis = "members"
	Clients Axis = "clients"
)

// Point is one measured value at one size.
type Point struct {
	Sweep   string  `parquet:"sweep"`
	Measure string  `parquet:"measure"` // such as view_bytes
	Unit    string  `parquet:"unit"`    // such as B/s per driver
	Axis    string  `parquet:"axis"`
	Size    int64   `parquet:"size"` // along the axis
	Drivers int64   `parquet:"drivers"`
	Members int64   `parquet:"members"`
	Seed    uint64  `parquet:"seed"`
	Value   float64 `parquet:"value"`
	How     string  `parquet:"how"` // simulated, loopback or counted
}

// Sweep plays one axis. Play gives its points as they are measured; it ends early when the context does.
type Sweep struct {
	Name  string
	About string // what is played, and what is left out
	Axis  Axis
	Sizes []int
	Play  func(stop context.Context, size int, seed uint64, point func(Point)) error
}
