package main

func replayedRefusal(p *play) error { return nil }
func stickyReload(p *play) error    { return nil }
