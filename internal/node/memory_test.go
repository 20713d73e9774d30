package node

import "testing"

// Guards against a limit of the Go runtime that leaves no room for the program itself, so that a crowd of slow clients takes the process
// over its own.
func TestMemoryLimitsLeaveRoomForTheProgram(t *testing.T) {
	const megabyte = 1 << 20
	for _, limit := range []int64{32, 48, 64, 128, 192, 1024} {
		site := &Site{Memory: limit * megabyte}
		if runtimeMemory(site)+programMemory > site.Memory {
			t.Errorf("limit of %d MB: %d MB for the runtime and %d for the program", limit, runtimeMemory(site)/megabyte, programMemory/megabyte)
		}
		if buffers := int64(bufferMemory(site)); buffers > site.Memory/4 || buffers < site.Memory/8 {
			t.Errorf("limit of %d MB: %d bytes for buffers", limit, buffers)
		}
	}
}
