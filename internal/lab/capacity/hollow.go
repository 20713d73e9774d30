package capacity

func viewSweeps() []Sweep  { return nil }
func leaseSweeps() []Sweep { return nil }
func listSweeps() []Sweep  { return nil }
