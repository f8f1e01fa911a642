package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
)

var (
	testStart  = time.Unix(1_000_000_000, 0)
	testFloors = [acaciatally.UrgencyClasses]float64{0.5, 0.3, 0.1}
)

// queueModel applies random operations to a queue and compares its state with plain sets.
type queueModel struct {
	queue          *queue.Queue
	config         queue.Config
	now            time.Time
	slots          int
	pushed         int
	queued         map[string]queue.Item
	held           map[string]queue.Item
	longestService time.Duration // longest service time so far
	quotas         map[acaciatally.TeamName]int
}

func newQueueModel(t *rapid.T) *queueModel {
	config := queue.Config{
		Floors: testFloors, MaxLength: rapid.IntRange(1, 40).Draw(t, "length"), MaxBytes: int64(rapid.IntRange(1, 400).Draw(t, "bytes")),
		Class: queue.Bounds{Length: rapid.IntRange(1, 30).Draw(t, "class length")},
		Team:  queue.Bounds{Length: rapid.IntRange(0, 20).Draw(t, "team length"), Bytes: int64(rapid.IntRange(0, 200).Draw(t, "team bytes"))},
	}
	return &queueModel{
		queue: queue.New(config), config: config, now: testStart, slots: rapid.IntRange(0, 20).Draw(t, "slots"),
		queued: map[string]queue.Item{}, held: map[string]queue.Item{}, quotas: map[acaciatally.TeamName]int{},
	}
}

func (m *queueModel) Push(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "pushes") {
		m.push(t)
	}
}

func (m *queueModel) push(t *rapid.T) {
	m.pushed++
	item := queue.Item{
		ID: fmt.Sprint(m.pushed), Team: acaciatally.TeamName(rapid.StringMatching("[a-e]").Draw(t, "team")),
		Urgency: acaciatally.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency")), Bytes: int64(rapid.IntRange(0, 50).Draw(t, "bytes")),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "deadline")) * time.Millisecond),
	}
	if err := m.queue.Push(m.now, item); err != nil {
		var refusal *acaciatally.Refusal
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, acaciatally.NotRun, refusal.Outcome)
		require.Positive(t, refusal.RetryAfter)
		return
	}
	m.queued[item.ID] = item
}

func (m *queueModel) PushAgain(t *rapid.T) {
	for _, known := range []map[string]queue.Item{m.queued, m.held} {
		if len(known) > 0 {
			require.Error(t, m.queue.Push(m.now, m.choose(t, known)))
		}
	}
}

func (m *queueModel) Next(t *rapid.T) {
	stats := m.queue.Stats()
	item, found := m.queue.Next(m.now, m.slots)
	if !found {
		require.True(t, len(m.held) >= m.slots || len(m.pending()) == 0, "free slot not granted although items are queued")
		return
	}
	require.Contains(t, m.queued, item.ID)
	require.True(t, item.Deadline.After(m.now), "granted after its deadline")
	require.Less(t, len(m.held), m.slots, "granted more slots than the pool has")
	m.checkFloors(t, item, stats)
	delete(m.queued, item.ID)
	m.held[item.ID] = item
}

// checkFloors fails if a team at its quota is granted a slot before a team below its quota, or a class at or above its floor before
// a class below its floor. The floors apply first to teams below their quotas, then to the others.
func (m *queueModel) checkFloors(t *rapid.T, granted queue.Item, stats queue.Stats) {
	below := func(urgency acaciatally.Urgency) bool {
		return float64(stats.Held[urgency]) < testFloors[urgency]*float64(m.slots)
	}
	for _, waiting := range m.pending() {
		if m.atQuota(waiting.Team) != m.atQuota(granted.Team) {
			require.False(t, m.atQuota(granted.Team), "team at its quota granted a slot while a team below its quota waits")
			continue
		}
		if below(waiting.Urgency) {
			require.True(t, below(granted.Urgency), "%s granted a slot above its floor while %s waits below its floor", granted.Urgency, waiting.Urgency)
		}
		if !below(granted.Urgency) {
			require.LessOrEqual(t, granted.Urgency, waiting.Urgency, "slots beyond the floors go to the most urgent class")
		}
	}
}

// atQuota reports whether the team has a quota and holds all of it.
func (m *queueModel) atQuota(team acaciatally.TeamName) bool {
	held := 0
	for _, item := range m.held {
		if item.Team == team {
			held++
		}
	}
	return m.quotas[team] > 0 && held >= m.quotas[team]
}

func (m *queueModel) Done(t *rapid.T) {
	if len(m.held) == 0 {
		return
	}
	item := m.choose(t, m.held)
	service := time.Duration(rapid.IntRange(0, 50).Draw(t, "service")) * time.Millisecond
	m.longestService = max(m.longestService, service)
	m.queue.Release(m.now, item, service)
	m.queue.Release(m.now, item, time.Second) // returning a slot again must change nothing
	delete(m.held, item.ID)
}

func (m *queueModel) Cancel(t *rapid.T) {
	if len(m.queued) == 0 {
		return
	}
	item := m.choose(t, m.queued)
	cancelled := m.queue.Cancel(item.ID)
	require.True(t, cancelled || !m.canMeetDeadline(item))
	if cancelled {
		delete(m.queued, item.ID)
	}
}

func (m *queueModel) Hold(t *rapid.T) {
	m.pushed++
	item := queue.Item{ID: fmt.Sprint(m.pushed), Team: "a", Urgency: acaciatally.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency"))}
	m.queue.AddHeld(m.now, item)
	m.queue.AddHeld(m.now, item)
	m.held[item.ID] = item
}

func (m *queueModel) Expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "step")) * time.Millisecond)
	for _, item := range m.queue.Expire(m.now) {
		require.Contains(t, m.queued, item.ID)
		require.False(t, m.canMeetDeadline(item), "expired although it could be served in time")
		delete(m.queued, item.ID)
	}
	for _, item := range m.queued {
		require.True(t, item.Deadline.After(m.now), "an expired item is still queued")
	}
}

func (m *queueModel) Configure(t *rapid.T) {
	team := acaciatally.TeamName(rapid.StringMatching("[a-e]").Draw(t, "team"))
	m.quotas[team] = rapid.IntRange(0, 6).Draw(t, "quota")
	m.queue.SetQuota(team, m.quotas[team])
	m.slots = rapid.IntRange(0, 20).Draw(t, "slots")
}

// Check compares counts and bounds after each operation.
func (m *queueModel) Check(t *rapid.T) {
	stats := m.queue.Stats()
	queued, held, bytes := 0, 0, int64(0)
	for urgency := range stats.Queued {
		require.LessOrEqual(t, stats.Queued[urgency], m.config.Class.Length)
		queued += stats.Queued[urgency]
		held += stats.Held[urgency]
		bytes += stats.QueuedBytes[urgency]
	}
	require.LessOrEqual(t, queued, m.config.MaxLength)
	require.LessOrEqual(t, bytes, m.config.MaxBytes)
	require.Equal(t, len(m.held), held)
	require.LessOrEqual(t, len(m.pending()), queued)
	require.LessOrEqual(t, queued, len(m.queued))
	m.checkTeams(t)
}

func (m *queueModel) checkTeams(t *rapid.T) {
	lengths, bytes := map[string]int{}, map[string]int64{}
	for _, item := range m.pending() {
		key := fmt.Sprint(item.Team, item.Urgency)
		lengths[key]++
		bytes[key] += item.Bytes
		if m.config.Team.Length > 0 {
			require.LessOrEqual(t, lengths[key], m.config.Team.Length)
		}
		if m.config.Team.Bytes > 0 {
			require.LessOrEqual(t, bytes[key], m.config.Team.Bytes)
		}
	}
}

// canMeetDeadline reports whether an item is certain to be served before its deadline, given the longest service time so far.
func (m *queueModel) canMeetDeadline(item queue.Item) bool {
	return item.Deadline.After(m.now.Add(m.longestService))
}

// pending returns the queued items that are certain to be served before their deadline.
func (m *queueModel) pending() (items []queue.Item) {
	for _, item := range m.queued {
		if m.canMeetDeadline(item) {
			items = append(items, item)
		}
	}
	return items
}

func (m *queueModel) choose(t *rapid.T, from map[string]queue.Item) queue.Item {
	ids := make([]string, 0, len(from))
	for i := range m.pushed {
		if _, found := from[fmt.Sprint(i+1)]; found {
			ids = append(ids, fmt.Sprint(i+1))
		}
	}
	return from[rapid.SampledFrom(ids).Draw(t, "id")]
}

// TestRandomOperations guards against items that are lost or granted twice, grants after a deadline, floors taken by another class,
// and bounds exceeded after some sequence of operations.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"Push": m.Push, "PushAgain": m.PushAgain, "Next": m.Next, "Next2": m.Next, "Next3": m.Next, "Done": m.Done,
			"Cancel": m.Cancel, "Hold": m.Hold, "Expire": m.Expire, "Configure": m.Configure, "": m.Check,
		})
		m.drain(t)
	})
}

// drain serves the remaining items and checks that every accepted item ended once.
func (m *queueModel) drain(t *rapid.T) {
	m.slots = len(m.queued) + len(m.held)
	for range m.slots {
		item, found := m.queue.Next(m.now, m.slots)
		if !found {
			break
		}
		require.Contains(t, m.queued, item.ID)
		delete(m.queued, item.ID)
	}
	for _, item := range m.queue.Expire(m.now) {
		delete(m.queued, item.ID)
	}
	require.Empty(t, m.queued, "accepted items were lost")
}
