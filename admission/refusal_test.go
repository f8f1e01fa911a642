package admission_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/admission"
)

// TestLate guards against requests that wait although they cannot start before their deadline, and against retry times that are too short.
func TestLate(t *testing.T) {
	now := time.Unix(1_000_000_000, 0)
	tests := map[string]struct {
		deadline   time.Time
		wait       time.Duration
		retryAfter time.Duration // 0 when accepted
	}{
		"in time":         {deadline: now.Add(2 * time.Second), wait: time.Second},
		"just in time":    {deadline: now.Add(2 * time.Second), wait: 2 * time.Second},
		"no deadline":     {wait: time.Hour},
		"too late":        {deadline: now.Add(2 * time.Second), wait: 5 * time.Second, retryAfter: 3 * time.Second},
		"a little late":   {deadline: now.Add(2 * time.Second), wait: 2001 * time.Millisecond, retryAfter: 100 * time.Millisecond},
		"deadline passed": {deadline: now.Add(-time.Second), wait: time.Second, retryAfter: time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			refusal := admission.RefuseLate(now, test.deadline, test.wait)
			if test.retryAfter == 0 {
				require.Nil(t, refusal)
				return
			}
			require.Equal(t, test.retryAfter, refusal.RetryAfter)
		})
	}
}
