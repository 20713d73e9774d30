package persist

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Names of the stored values. The comment of a prefix says what follows it, the comment of a complete name what the value holds.
const (
	memberPrefix        = "member/"  // uid of the member
	sessionBatchPrefix  = "written/" // time of the commit; the value holds the latest writes of sessions since the previous commit
	endpointPrefix      = "list/"    // uid of the endpoint
	listVersionName     = "listed"   // revision and origin of the endpoint list
	requestPrefix       = "repeat/"  // name of the front, "/" and a digest of the idempotency key
	usualLatenciesName  = "usual"    // usual latencies of the methods
	savedAtName         = "saved"    // time of the last commit
	legacySessionPrefix = "session/" // session; the value holds its latest write in the format of versions up to 0.3
	promisePrefix       = "promise/" // name of the lease, in a directory of lease promises
)

func sessionBatchName(savedAt time.Duration) string {
	return fmt.Sprintf("%s%016x", sessionBatchPrefix, uint64(savedAt))
}

// parseSessionBatchName returns the time of the commit in the name of a session batch; ok is false for any other name.
func parseSessionBatchName(name string) (savedAt time.Duration, ok bool) {
	digits, found := strings.CutPrefix(name, sessionBatchPrefix)
	if !found {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return time.Duration(n), err == nil
}

func requestName(front string, key uint64) string {
	return requestPrefix + front + "/" + strconv.FormatUint(key, 16)
}
