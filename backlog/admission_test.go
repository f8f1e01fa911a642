package backlog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestAdmit guards against entries that accept more between two versions of the state than there is room for, and against refusals while the
// leader publishes no state.
func TestAdmit(t *testing.T) {
	full := &State{Room: Room{Free: 400, FreedPerSecond: 100}, Sources: []SourceRoom{{Source: hot, Room: Room{FreedPerSecond: 50}}}}
	tests := map[string]struct {
		state   *State
		before  int64 // accepted of the same source under the same version
		bytes   int64
		want    bool
		wantFor time.Duration
	}{
		"calm":                               {bytes: 500, want: true},
		"calm, larger than half":             {bytes: 501, wantFor: maxRetryAfter},
		"calm, much at once":                 {before: 80, bytes: 41, wantFor: minRetryAfter},
		"calm, other entries accept as much": {before: 80, bytes: 40, want: true},
		"source without room":                {state: full, bytes: 100, wantFor: 2 * time.Second},
		"source without room, small":         {state: full, bytes: 1, wantFor: minRetryAfter},
		"source without room, for long":      {state: full, bytes: 1_000_000, wantFor: maxRetryAfter},
		"nothing is freed":                   {state: &State{}, bytes: 100, wantFor: maxRetryAfter},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			admission := NewAdmission(testLimit)
			if test.before > 0 {
				_, admitted := admission.Admit(test.state, 1, hot, test.before, 0)
				require.True(t, admitted)
			}
			retryAfter, admitted := admission.Admit(test.state, 1, hot, test.bytes, 0)
			require.Equal(t, test.want, admitted)
			require.Equal(t, test.wantFor, retryAfter)
		})
	}
}

// TestAdmitOtherSource guards against a source that keeps others out: they have room when it has none.
func TestAdmitOtherSource(t *testing.T) {
	admission := NewAdmission(testLimit)
	full := &State{Room: Room{Free: 400}, Sources: []SourceRoom{{Source: hot}}}
	_, admitted := admission.Admit(full, 1, hot, 1, 0)
	require.False(t, admitted)
	_, admitted = admission.Admit(full, 1, calm, 100, 0)
	require.True(t, admitted)
}

// TestAdmitOtherSourceInCalm guards against the same between two versions of the state: one source can't take all that the entry may accept.
func TestAdmitOtherSourceInCalm(t *testing.T) {
	admission := NewAdmission(testLimit)
	admitted := true
	for admitted {
		_, admitted = admission.Admit(nil, 1, hot, 10, 0)
	}
	_, admitted = admission.Admit(nil, 1, calm, 10, 0)
	require.True(t, admitted)
}

// TestAdmitVersions guards against an entry that forgets what it has accepted as soon as a new state comes, which may be older than the job.
func TestAdmitVersions(t *testing.T) {
	admission := NewAdmission(testLimit)
	state := &State{Room: Room{Free: 600}}
	admit := func(version uint64) bool {
		_, admitted := admission.Admit(state, version, calm, 100, 0)
		return admitted
	}
	require.True(t, admit(1))
	require.False(t, admit(1))
	require.False(t, admit(2), "the state may be older than the job")
	require.True(t, admit(3))
}

// TestReturnsAreSpread guards against refused callers that all return at the same time: those refused later return later.
func TestReturnsAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		admission := NewAdmission(testLimit)
		rate := rapid.Int64Range(1, 1000).Draw(t, "freed per second")
		state := &State{Room: Room{FreedPerSecond: rate}}
		now, last := time.Duration(0), time.Duration(0)
		for range rapid.IntRange(1, 50).Draw(t, "callers") {
			now += time.Duration(rapid.IntRange(0, 1000).Draw(t, "pause in ms")) * time.Millisecond
			retryAfter, admitted := admission.Admit(state, 1, hot, rapid.Int64Range(1, 500).Draw(t, "bytes"), now)
			require.False(t, admitted)
			require.GreaterOrEqual(t, retryAfter, minRetryAfter)
			require.LessOrEqual(t, retryAfter, maxRetryAfter)
			if retryAfter < maxRetryAfter {
				require.GreaterOrEqual(t, now+retryAfter, last)
			}
			last = now + retryAfter
		}
	})
}
