package settings

import (
	"strconv"
	"time"
)

// Freshness says how recent the data of a member must be to serve a method.
type Freshness string

// All values of Freshness. No member qualifies for any other value.
const (
	FreshnessAny     Freshness = "any"
	FreshnessBounded Freshness = "bounded" // not staler than the method's MaxStaleness
	FreshnessSession Freshness = "session" // includes the session's latest write
	FreshnessLatest  Freshness = "fresh"   // includes all commits from before the RPC arrived
	FreshnessWrite   Freshness = "write"   // a write, for the primary
)

// PrefersPrimary reports whether the primary usually serves methods with this freshness.
func (f Freshness) PrefersPrimary() bool { return f == FreshnessWrite || f == FreshnessLatest }

// Effect says whether a method may run more than once.
type Effect string

// All values of Effect. Any other value counts as non-idempotent.
const (
	NonIdempotent Effect = "non-idempotent"
	Idempotent    Effect = "idempotent"
	Keyed         Effect = "tokened" // may run again with the same idempotency key
)

// DuplicateScope says which members drop a duplicate of an RPC that has run. Any value other than the constants means the members of the
// group.
type DuplicateScope string

// The values of DuplicateScope other than the group.
const (
	DuplicatesInZone   DuplicateScope = "zone" // the members in the zone of the member that it ran at
	DuplicatesAnywhere DuplicateScope = "all"
)

// Method holds the settings of one method.
type Method struct {
	Freshness    Freshness
	MaxStaleness time.Duration // of the member's data, for FreshnessBounded
	Effect       Effect
	Duplicates   DuplicateScope
	RetryWindow  time.Duration // time after the first run in which members recognize duplicates
	SoftDeadline time.Duration // time after which an answer has less utility
	TotalLimit   time.Duration // how long a client waits over all its tries
	Utility      float64       // of an answer before the soft deadline
	LateUtility  float64       // fraction of Utility that is left after the soft deadline
}

// Methods returns the methods by index, including retired ones.
func (s Settings) Methods() []Method {
	methods := make([]Method, 0, s.methodCount())
	for i := range s.methodCount() {
		path := methodPath(i)
		m := Method{
			Freshness: Freshness(s.ListItem("family_info.needs", i)), Effect: Effect(s.Text(path + "effect")),
			Duplicates: DuplicateScope(s.Text(path + "repeats")), RetryWindow: s.Duration(path + "window"),
			SoftDeadline: s.Duration(path + "soft_deadline"), TotalLimit: s.Duration(path + "limit"),
			Utility: s.Number(path+"utility", 1), LateUtility: s.Number(path+"late_utility", 0),
		}
		m.MaxStaleness, _ = time.ParseDuration(s.ListItem("family_info.bounds", i) + "us") // 0 where the list is shorter
		methods = append(methods, m)
	}
	return methods
}

// TenantQuotas returns this driver's part of each tenant's quota in RPCs per second, by the tenant's index.
func (s Settings) TenantQuotas() []float64 {
	var quotas []float64
	for i := range int(s.Number("tenants.count", 0)) {
		quotas = append(quotas, s.Number("tenants."+strconv.Itoa(i)+".quota", 0)/s.Number("drivers", 1))
	}
	return quotas
}
