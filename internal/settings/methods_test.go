package settings

import (
	"slices"
	"testing"
	"time"
)

func TestMethodsAreReadWithTheirDefaults(t *testing.T) {
	s := New(map[string]string{
		"methods.count": "3", "family_info.needs": "bounded,write", "family_info.bounds": "500000,0",
		"methods.0.effect": "idempotent", "methods.0.repeats": "all", "methods.0.soft_deadline": "600000", "methods.0.limit": "2000000",
		"methods.0.utility": "2", "methods.0.late_utility": "0.3",
		"methods.1.effect": "tokened", "methods.1.repeats": "zone", "methods.1.window": "1200000",
	})
	want := []Method{
		{Freshness: FreshnessBounded, MaxStaleness: 500 * time.Millisecond, Effect: Idempotent, Duplicates: DuplicatesAnywhere,
			SoftDeadline: 600 * time.Millisecond, TotalLimit: 2 * time.Second, Utility: 2, LateUtility: 0.3},
		{Freshness: FreshnessWrite, Effect: Keyed, Duplicates: DuplicatesInZone, RetryWindow: 1200 * time.Millisecond, Utility: 1},
		{Utility: 1},
	}
	if got := s.Methods(); !slices.Equal(got, want) {
		t.Errorf("methods %+v, want %+v", got, want)
	}
}

func TestTenantQuotasAreDividedAmongTheDrivers(t *testing.T) {
	s := New(map[string]string{"tenants.count": "2", "tenants.0.quota": "30", "drivers": "3"})
	if got := s.TenantQuotas(); !slices.Equal(got, []float64{10, 0}) {
		t.Errorf("quotas %v", got)
	}
}
