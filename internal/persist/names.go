package persist

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Names of the stored values.
const (
	memberPrefix        = "member/"  // and the member's uid
	sessionBatchPrefix  = "written/" // and the time of the commit: the sessions' latest writes since the commit before
	endpointPrefix      = "list/"    // and the endpoint's uid
	listVersionName     = "listed"   // revision and origin of the endpoint list
	requestPrefix       = "repeat/"  // and the front's name, "/" and a digest of the idempotency key
	usualLatenciesName  = "usual"    // of the methods
	savedAtName         = "saved"    // time of the last commit
	legacySessionPrefix = "session/" // and the session: its latest write, as versions up to 0.3 stored it
	promisePrefix       = "promise/" // and the lease's name, in a directory of lease promises
)

func sessionBatchName(at time.Duration) string {
	return fmt.Sprintf("%s%016x", sessionBatchPrefix, uint64(at))
}

// parseSessionBatchName returns the time of the commit that a batch belongs to; ok is false for any other name.
func parseSessionBatchName(name string) (at time.Duration, ok bool) {
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
