package lease

// Mutations are bugs put in to test the tests. A build with the tag mutation takes one of these names from the environment.
const (
	noMutation            = ""
	holdCountedFromAnswer = "counts-from-answer" // the holder counts its time from an answer, not from the request
	noSilenceAfterStart   = "answers-at-once"    // a voter grants as soon as it has started
	halfIsMajority        = "half-decides"       // half of the voters count as a majority
	reusedToken           = "reuses-number"      // fencing tokens come again
)
