package lease

// Mutations are deliberate bugs that the tests have to find. A build with the tag mutation takes the name of one of them from the environment
// variable PASSTACK_PLANTED.
const (
	noMutation            = ""
	holdCountedFromAnswer = "counts-from-answer" // the holder counts its lease from an answer instead of from the request
	noSilenceAfterStart   = "answers-at-once"    // a voter grants leases as soon as it has started
	halfIsMajority        = "half-decides"       // half of the voters count as a majority
	reusedToken           = "reuses-number"      // fencing tokens are reused
)
