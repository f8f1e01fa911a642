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

// machine applies random operations to a queue and compares it with plain sets.
type machine struct {
	queue   *queue.Queue
	config  queue.Config
	now     time.Time
	slots   int
	pushed  int
	queued  map[string]queue.Item
	held    map[string]queue.Item
	longest time.Duration // service time
	quotas  map[acaciatally.TeamName]int
}

func newMachine(t *rapid.T) *machine {
	config := queue.Config{
		Floors: testFloors, MaxLength: rapid.IntRange(1, 40).Draw(t, "length"), MaxBytes: int64(rapid.IntRange(1, 400).Draw(t, "bytes")),
		Class: queue.Bounds{Length: rapid.IntRange(1, 30).Draw(t, "class length")},
		Team:  queue.Bounds{Length: rapid.IntRange(0, 20).Draw(t, "team length"), Bytes: int64(rapid.IntRange(0, 200).Draw(t, "team bytes"))},
	}
	return &machine{
		queue: queue.New(config), config: config, now: testStart, slots: rapid.IntRange(0, 20).Draw(t, "slots"),
		queued: map[string]queue.Item{}, held: map[string]queue.Item{}, quotas: map[acaciatally.TeamName]int{},
	}
}

func (m *machine) Push(t *rapid.T) {
	for range rapid.IntRange(1, 8).Draw(t, "pushes") {
		m.push(t)
	}
}

func (m *machine) push(t *rapid.T) {
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

func (m *machine) PushAgain(t *rapid.T) {
	for _, known := range []map[string]queue.Item{m.queued, m.held} {
		if len(known) > 0 {
			require.Error(t, m.queue.Push(m.now, m.choose(t, known)))
		}
	}
}

func (m *machine) Next(t *rapid.T) {
	stats := m.queue.Stats()
	item, found := m.queue.Next(m.now, m.slots)
	if !found {
		require.True(t, len(m.held) >= m.slots || len(m.alive()) == 0, "free slot withheld from queued work")
		return
	}
	require.Contains(t, m.queued, item.ID)
	require.True(t, item.Deadline.After(m.now), "granted after its deadline")
	require.Less(t, len(m.held), m.slots, "granted more than the slots")
	m.checkFloors(t, item, stats)
	delete(m.queued, item.ID)
	m.held[item.ID] = item
}

// checkFloors fails when work over a quota is served before work within one, or a class at or above its floor before one below
// its floor with work of the same kind. The floors hold for work within quotas first.
func (m *machine) checkFloors(t *rapid.T, granted queue.Item, stats queue.Stats) {
	below := func(urgency acaciatally.Urgency) bool {
		return float64(stats.Held[urgency]) < testFloors[urgency]*float64(m.slots)
	}
	for _, waiting := range m.alive() {
		if m.over(waiting.Team) != m.over(granted.Team) {
			require.False(t, m.over(granted.Team), "work over a quota served while work within one waits")
			continue
		}
		if below(waiting.Urgency) {
			require.True(t, below(granted.Urgency), "%s served above its floor while %s waits below its", granted.Urgency, waiting.Urgency)
		}
		if !below(granted.Urgency) {
			require.LessOrEqual(t, granted.Urgency, waiting.Urgency, "the rest goes to the most urgent class")
		}
	}
}

// over reports whether the team holds its whole quota.
func (m *machine) over(team acaciatally.TeamName) bool {
	held := 0
	for _, item := range m.held {
		if item.Team == team {
			held++
		}
	}
	return m.quotas[team] > 0 && held >= m.quotas[team]
}

func (m *machine) Done(t *rapid.T) {
	if len(m.held) == 0 {
		return
	}
	item := m.choose(t, m.held)
	service := time.Duration(rapid.IntRange(0, 50).Draw(t, "service")) * time.Millisecond
	m.longest = max(m.longest, service)
	m.queue.Done(m.now, item, service)
	m.queue.Done(m.now, item, time.Second) // a repeated return must change nothing
	delete(m.held, item.ID)
}

func (m *machine) Cancel(t *rapid.T) {
	if len(m.queued) == 0 {
		return
	}
	item := m.choose(t, m.queued)
	cancelled := m.queue.Cancel(item.ID)
	require.True(t, cancelled || !m.inTime(item))
	if cancelled {
		delete(m.queued, item.ID)
	}
}

func (m *machine) Hold(t *rapid.T) {
	m.pushed++
	item := queue.Item{ID: fmt.Sprint(m.pushed), Team: "a", Urgency: acaciatally.Urgency(rapid.IntRange(0, 2).Draw(t, "urgency"))}
	m.queue.Hold(m.now, item)
	m.queue.Hold(m.now, item)
	m.held[item.ID] = item
}

func (m *machine) Expire(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "step")) * time.Millisecond)
	for _, item := range m.queue.Expire(m.now) {
		require.Contains(t, m.queued, item.ID)
		require.False(t, m.inTime(item), "set aside although it could be served")
		delete(m.queued, item.ID)
	}
	for _, item := range m.queued {
		require.True(t, item.Deadline.After(m.now), "an expired item is still queued")
	}
}

func (m *machine) Configure(t *rapid.T) {
	team := acaciatally.TeamName(rapid.StringMatching("[a-e]").Draw(t, "team"))
	m.quotas[team] = rapid.IntRange(0, 6).Draw(t, "quota")
	m.queue.SetQuota(team, m.quotas[team])
	m.slots = rapid.IntRange(0, 20).Draw(t, "slots")
}

// Check compares counts and bounds after each operation.
func (m *machine) Check(t *rapid.T) {
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
	require.LessOrEqual(t, len(m.alive()), queued)
	require.LessOrEqual(t, queued, len(m.queued))
	m.checkTeams(t)
}

func (m *machine) checkTeams(t *rapid.T) {
	lengths, bytes := map[string]int{}, map[string]int64{}
	for _, item := range m.alive() {
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

// inTime reports whether an item can surely be served before its deadline, by the longest service time so far.
func (m *machine) inTime(item queue.Item) bool { return item.Deadline.After(m.now.Add(m.longest)) }

// alive returns the queued items that can surely be served before their deadline.
func (m *machine) alive() (items []queue.Item) {
	for _, item := range m.queued {
		if m.inTime(item) {
			items = append(items, item)
		}
	}
	return items
}

func (m *machine) choose(t *rapid.T, from map[string]queue.Item) queue.Item {
	ids := make([]string, 0, len(from))
	for i := range m.pushed {
		if _, found := from[fmt.Sprint(i+1)]; found {
			ids = append(ids, fmt.Sprint(i+1))
		}
	}
	return from[rapid.SampledFrom(ids).Draw(t, "id")]
}

// TestAnyOperations guards against lost or doubly granted items, grants after a deadline, floors that another class takes, and
// bounds that some order of operations exceeds.
func TestAnyOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"Push": m.Push, "PushAgain": m.PushAgain, "Next": m.Next, "Next2": m.Next, "Next3": m.Next, "Done": m.Done,
			"Cancel": m.Cancel, "Hold": m.Hold, "Expire": m.Expire, "Configure": m.Configure, "": m.Check,
		})
		m.drain(t)
	})
}

// drain serves what is left and checks that every accepted item ended once.
func (m *machine) drain(t *rapid.T) {
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
