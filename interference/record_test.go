package interference

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRecord guards against a next leader that does not know the verdicts, or keeps old ones for longer than their leader would have.
func TestRecord(t *testing.T) {
	s := newSimulation(1, 6)
	s.slowdown = interferes(0, 3, 2)
	s.run(40*time.Second, 0.6)
	stored, err := DecodeRecord(s.detector.Record(time.Minute).Encode())
	require.NoError(t, err)
	require.Len(t, stored.Verdicts, 1)

	next := NewDetector()
	next.Merge(stored, time.Second, 0)
	changes := next.TakeChanges()
	require.Len(t, changes, 1)
	require.InEpsilon(t, stored.Verdicts[0].Factor, changes[0].Factor, 0.01)
	require.Equal(t, []KindID{next.Find(queueKind(3))}, next.Conflicts(next.Find(queueKind(0))))
	require.Equal(t, []KindID{next.Find(queueKind(0))}, next.Conflicts(next.Find(queueKind(3))))
	require.False(t, next.Record(0).Differs(stored))

	old := NewDetector()
	old.Merge(stored, 15*time.Minute, 0)
	require.Zero(t, old.Verdicts())

	// A chain of leaders, each of which leads for a minute and gets no evidence.
	chain := stored
	for term := range 15 {
		leader := NewDetector()
		leader.Merge(chain, time.Minute, 0)
		if leader.Verdicts() == 0 {
			require.GreaterOrEqual(t, term, 3)
			return
		}
		chain = leader.Record(0)
	}
	require.Fail(t, "the verdict outlives its evidence")
}

// TestMergeWithEvidence guards against verdicts of the record that displace what this leader has found meanwhile, or that stay when its own evidence
// contradicts them.
func TestMergeWithEvidence(t *testing.T) {
	first := newSimulation(1, 6)
	first.slowdown = interferes(0, 3, 2)
	first.run(40*time.Second, 0.6)
	second := newSimulation(2, 6)
	second.slowdown = interferes(1, 4, 2)
	second.run(40*time.Second, 0.6)
	second.detector.Merge(first.detector.Record(0), 0, second.now)
	require.Len(t, second.found(), 2)
	second.run(4*time.Minute, 0.6)
	require.Contains(t, second.found(), [2]Kind{queueKind(1), queueKind(4)})
	require.Len(t, second.found(), 1)
}

// TestRecordSize guards against a record that grows with the number of verdicts and the length of images.
func TestRecordSize(t *testing.T) {
	var record Record
	for i := range 300 {
		record.Verdicts = append(record.Verdicts, Verdict{
			Victim: Kind{Image: fmt.Sprint(i)}, Aggressor: Kind{Image: strings.Repeat("x", 200)}, Factor: 2, Weight: 20, Variance: 0.2, Samples: 20,
		})
	}
	content := record.Encode()
	require.LessOrEqual(t, len(content), MaxRecordBytes)
	decoded, err := DecodeRecord(content)
	require.NoError(t, err)
	require.Greater(t, len(decoded.Verdicts), 5)
	require.Equal(t, record.Verdicts[0], decoded.Verdicts[0])
}

// TestRecordChange guards against a write for each small change of the evidence, and against a record that is never brought up to date.
func TestRecordChange(t *testing.T) {
	verdict := Verdict{Victim: queueKind(0), Aggressor: queueKind(1), Factor: 2, Weight: 20, Variance: 0.2, Samples: 20}
	with := func(change func(v *Verdict)) Record {
		changed := verdict
		change(&changed)
		return Record{Verdicts: []Verdict{changed}}
	}
	stored := with(func(*Verdict) {})
	require.False(t, with(func(v *Verdict) { v.Factor, v.Weight, v.Samples = 2.2, 30, 30 }).Differs(stored))
	require.True(t, with(func(v *Verdict) { v.Factor = 2.6 }).Differs(stored))
	require.True(t, with(func(v *Verdict) { v.Weight = 9 }).Differs(stored))
	require.True(t, with(func(v *Verdict) { v.Victim = queueKind(2) }).Differs(stored))
	require.True(t, Record{}.Differs(stored))
	require.False(t, Record{}.Differs(Record{At: time.Second}))
}

// TestDamagedRecord guards against a record that is damaged or from a faulty leader and makes the next one fail or keep tasks apart for nothing.
func TestDamagedRecord(t *testing.T) {
	valid := string(Record{Verdicts: []Verdict{{
		Victim: queueKind(0), Aggressor: queueKind(1), Factor: 2, Weight: 20, Variance: 0.2, Samples: 20,
	}}}.Encode())
	_, err := DecodeRecord([]byte(valid))
	require.NoError(t, err)
	for _, content := range []string{
		"", "null and void", valid[:len(valid)-2], strings.Replace(valid, `"Factor":2`, `"Factor":1e300`, 1),
		strings.Replace(valid, `"Factor":2`, `"Factor":-1`, 1), strings.Replace(valid, `"Variance":0.2`, `"Variance":0`, 1),
		strings.Replace(valid, `"Weight":20`, `"Weight":0`, 1), strings.Replace(valid, `{"Queue":"q-0"}`, `{}`, 1),
	} {
		record, err := DecodeRecord([]byte(content))
		require.Error(t, err, content)
		require.Empty(t, record.Verdicts)
	}
}
