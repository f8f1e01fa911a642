package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
)

// newFilledQueue returns a queue with the given number of items for each team.
func newFilledQueue(t *testing.T, config queue.Config, length int, teams ...queue.Item) *queue.Queue {
	t.Helper()
	created := queue.New(config)
	for i := range length {
		for _, item := range teams {
			item.ID = fmt.Sprintf("%s-%s-%d", item.Team, item.Urgency, i)
			require.NoError(t, created.Push(testStart, item))
		}
	}
	return created
}

// simulatedServer serves a queue in virtual time.
type simulatedServer struct {
	queue   *queue.Queue
	slots   int
	service func(queue.Item) time.Duration
	now     time.Duration
	ends    map[time.Duration][]queue.Item
}

// run serves for the duration and returns the slot time received by each team and class.
func (s *simulatedServer) run(duration time.Duration) map[string]time.Duration {
	received := map[string]time.Duration{}
	for until := s.now + duration; s.now < until; s.now += 10 * time.Millisecond {
		for _, item := range s.ends[s.now] {
			s.queue.Release(testStart.Add(s.now), item, s.service(item))
		}
		for {
			item, found := s.queue.Next(testStart.Add(s.now), s.slots)
			if !found {
				break
			}
			end := s.now + s.service(item)
			s.ends[end] = append(s.ends[end], item)
			received[fmt.Sprintf("%s/%s", item.Team, item.Urgency)] += min(s.service(item), until-s.now)
		}
	}
	return received
}

func constantServiceTime(queue.Item) time.Duration { return 100 * time.Millisecond }

// TestShares guards against teams and classes that receive more than their share of slot time while others wait.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		slots   int
		quotas  map[acaciatally.TeamName]int
		teams   []queue.Item
		service func(queue.Item) time.Duration
		want    map[string]float64 // share of the total slot time
	}{
		"classes keep their floors and the rest goes to the most urgent": {
			slots: 20, service: constantServiceTime,
			teams: []queue.Item{{Team: "a", Urgency: 0}, {Team: "b", Urgency: 1}, {Team: "c", Urgency: 2}},
			want:  map[string]float64{"a/Urgent": 0.6, "b/Normal": 0.3, "c/Background": 0.1},
		},
		"floors of less than a slot are shares of time": {
			slots: 1, service: constantServiceTime,
			teams: []queue.Item{{Team: "a", Urgency: 0}, {Team: "b", Urgency: 1}, {Team: "c", Urgency: 2}},
			want:  map[string]float64{"a/Urgent": 0.55, "b/Normal": 0.33, "c/Background": 0.11},
		},
		"the floor of an idle class goes to other classes": {
			slots: 10, service: constantServiceTime,
			teams: []queue.Item{{Team: "c", Urgency: 2}},
			want:  map[string]float64{"c/Background": 1},
		},
		"slow requests do not give a team more slot time": {
			slots: 12, teams: []queue.Item{{Team: "a", Urgency: 1}, {Team: "b", Urgency: 1}},
			service: func(item queue.Item) time.Duration {
				if item.Team == "a" {
					return 2 * time.Second
				}
				return 50 * time.Millisecond
			},
			want: map[string]float64{"a/Normal": 0.5, "b/Normal": 0.5},
		},
		"more teams than slots share time": {
			slots: 1, teams: []queue.Item{{Team: "a", Urgency: 1}, {Team: "b", Urgency: 1}},
			service: func(item queue.Item) time.Duration {
				if item.Team == "a" {
					return 200 * time.Millisecond
				}
				return 50 * time.Millisecond
			},
			want: map[string]float64{"a/Normal": 0.5, "b/Normal": 0.5},
		},
		"a team at its quota waits behind the others": {
			slots: 20, service: constantServiceTime, quotas: map[acaciatally.TeamName]int{"a": 8},
			teams: []queue.Item{{Team: "a", Urgency: 1}, {Team: "b", Urgency: 1}},
			want:  map[string]float64{"a/Normal": 0.4, "b/Normal": 0.6},
		},
		"a team at its quota uses slots that others leave free": {
			slots: 10, service: constantServiceTime, quotas: map[acaciatally.TeamName]int{"a": 2},
			teams: []queue.Item{{Team: "a", Urgency: 1}},
			want:  map[string]float64{"a/Normal": 1},
		},
		"urgent requests beyond the quota do not use the floor of their class": {
			slots: 20, service: constantServiceTime, quotas: map[acaciatally.TeamName]int{"a": 2},
			teams: []queue.Item{{Team: "a", Urgency: 0}, {Team: "b", Urgency: 1}},
			want:  map[string]float64{"a/Urgent": 0.1, "b/Normal": 0.9},
		},
		"floors apply among teams at their quotas": {
			slots: 20, service: constantServiceTime, quotas: map[acaciatally.TeamName]int{"a": 1, "b": 1, "c": 1},
			teams: []queue.Item{{Team: "a", Urgency: 0}, {Team: "b", Urgency: 1}, {Team: "c", Urgency: 2}},
			want:  map[string]float64{"a/Urgent": 0.6, "b/Normal": 0.3, "c/Background": 0.1},
		},
		"requests that never end do not give a team more slots": {
			slots: 20, teams: []queue.Item{{Team: "a", Urgency: 1}, {Team: "b", Urgency: 1}},
			service: func(item queue.Item) time.Duration {
				if item.Team == "a" {
					return time.Hour
				}
				return 50 * time.Millisecond
			},
			want: map[string]float64{"a/Normal": 0.5, "b/Normal": 0.5},
		},
		"quotas are weights": {
			slots: 6, service: constantServiceTime, quotas: map[acaciatally.TeamName]int{"a": 20, "b": 40},
			teams: []queue.Item{{Team: "a", Urgency: 1}, {Team: "b", Urgency: 1}},
			want:  map[string]float64{"a/Normal": 1.0 / 3, "b/Normal": 2.0 / 3},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := newFilledQueue(t, queue.Config{MaxLength: 30000, Team: queue.Bounds{Length: 9000}}, 4000, test.teams...)
			for team, quota := range test.quotas {
				q.SetQuota(team, quota)
			}
			const until = 20 * time.Second
			server := &simulatedServer{queue: q, slots: test.slots, service: test.service, ends: map[time.Duration][]queue.Item{}}
			received := server.run(until)
			for key, share := range test.want {
				require.InDelta(t, share, received[key].Seconds()/(until.Seconds()*float64(test.slots)), 0.03, key)
			}
		})
	}
}

// TestRefusals guards against items that are accepted beyond a bound or an expired deadline, or refused without a reason.
func TestRefusals(t *testing.T) {
	full := queue.Config{MaxLength: 12, MaxBytes: 1200, Class: queue.Bounds{Length: 8, Bytes: 1000}, Team: queue.Bounds{Length: 4, Bytes: 600}}
	tests := map[string]struct {
		teams  []queue.Item
		length int
		item   queue.Item
		reason string
	}{
		"accepted":               {teams: []queue.Item{{Team: "a"}}, length: 2, item: queue.Item{Team: "a"}},
		"team is full":           {teams: []queue.Item{{Team: "a"}}, length: 4, item: queue.Item{Team: "a"}, reason: "the queue of the team is full"},
		"other team is accepted": {teams: []queue.Item{{Team: "a"}}, length: 4, item: queue.Item{Team: "b"}},
		"class is full": {
			teams: []queue.Item{{Team: "a"}, {Team: "b"}}, length: 4, item: queue.Item{Team: "c"}, reason: "the queue of the class is full",
		},
		"pool is full": {
			teams: []queue.Item{{Team: "a"}, {Team: "b"}, {Team: "c", Urgency: 1}}, length: 4, item: queue.Item{Team: "d", Urgency: 2},
			reason: "the queue of the pool is full",
		},
		"team has too many bytes": {
			teams: []queue.Item{{Team: "a", Bytes: 200}}, length: 3, item: queue.Item{Team: "a", Bytes: 1}, reason: "the queue of the team is full",
		},
		"id in use":     {teams: []queue.Item{{Team: "a"}}, length: 1, item: queue.Item{ID: "a-Urgent-0", Team: "b"}, reason: "a request with this id is in progress"},
		"unknown class": {item: queue.Item{Urgency: 3}, reason: "unknown urgency class"},
		"deadline passed": {
			item: queue.Item{Team: "a", Deadline: testStart.Add(-time.Second)}, reason: "the expected wait exceeds the deadline",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := newFilledQueue(t, full, test.length, test.teams...)
			err := q.Push(testStart, test.item)
			if test.reason == "" {
				require.NoError(t, err)
				return
			}
			var refusal *acaciatally.Refusal
			require.ErrorAs(t, err, &refusal)
			require.Equal(t, test.reason, refusal.Reason)
		})
	}
}

// TestExpectedWait guards against an estimate far from the actual wait; the pool serves 100 requests per second. It also checks that
// Retry-After is long enough for a refused request to be accepted.
func TestExpectedWait(t *testing.T) {
	q := newFilledQueue(t, queue.Config{MaxLength: 30000}, 1000, queue.Item{Team: "a", Urgency: 1})
	server := &simulatedServer{queue: q, slots: 10, service: constantServiceTime, ends: map[time.Duration][]queue.Item{}}
	server.run(2 * time.Second)
	at := testStart.Add(2 * time.Second)
	require.InDelta(t, 8.1, q.ExpectedWait(at, queue.Item{Team: "a", Urgency: 1}).Seconds(), 0.3, "own queue of 800")
	require.Less(t, q.ExpectedWait(at, queue.Item{Team: "b", Urgency: 1}), 200*time.Millisecond, "another team does not wait behind it")
	require.Less(t, q.ExpectedWait(at, queue.Item{Team: "a", Urgency: 0}), 200*time.Millisecond, "a more urgent class does not wait behind it")

	late := queue.Item{ID: "late", Team: "a", Urgency: 1, Deadline: at.Add(3 * time.Second)}
	var refusal *acaciatally.Refusal
	require.ErrorAs(t, q.Push(at, late), &refusal)
	require.InDelta(t, 5.1, refusal.RetryAfter.Seconds(), 0.3)

	wait := refusal.RetryAfter.Truncate(10 * time.Millisecond)
	server.run(wait)
	late.Deadline = late.Deadline.Add(wait + 200*time.Millisecond)
	require.NoError(t, q.Push(at.Add(wait), late), "Retry-After was too short")
}

// TestHoldReportedSlots guards against a new slot home that grants slots which entries still hold.
func TestHoldReportedSlots(t *testing.T) {
	q := newFilledQueue(t, queue.Config{}, 5, queue.Item{Team: "a"})
	q.AddHeld(testStart, queue.Item{ID: "old", Team: "b"})
	q.AddHeld(testStart, queue.Item{ID: "a-Urgent-0", Team: "a"})
	_, found := q.Next(testStart, 2)
	require.False(t, found)
	q.Release(testStart, queue.Item{ID: "old"}, time.Second)
	item, found := q.Next(testStart, 2)
	require.True(t, found)
	require.Equal(t, "a-Urgent-1", item.ID)
}

// TestDeadlineOrder guards against a request that expires behind a request of the same team with a later deadline.
func TestDeadlineOrder(t *testing.T) {
	q := queue.New(queue.Config{})
	for i, seconds := range []int{9, 3, 6, 1} {
		item := queue.Item{ID: fmt.Sprint(seconds), Team: "a", Deadline: testStart.Add(time.Duration(seconds) * time.Second)}
		require.NoError(t, q.Push(testStart.Add(time.Duration(i)), item))
	}
	later := testStart.Add(2 * time.Second)
	for _, want := range []string{"3", "6", "9"} {
		item, found := q.Next(later, 8)
		require.True(t, found)
		require.Equal(t, want, item.ID)
	}
	expired := q.Expire(later)
	require.Len(t, expired, 1)
	require.Equal(t, "1", expired[0].ID)
}

// TestIdleTimeEarnsNoCredit guards against a team that, after an idle period, takes all slots for as long as it was idle.
func TestIdleTimeEarnsNoCredit(t *testing.T) {
	q := newFilledQueue(t, queue.Config{}, 400, queue.Item{Team: "a"})
	server := &simulatedServer{queue: q, slots: 1, service: constantServiceTime, ends: map[time.Duration][]queue.Item{}}
	server.run(20 * time.Second)
	for i := range 100 {
		require.NoError(t, q.Push(testStart.Add(server.now), queue.Item{ID: fmt.Sprint(i), Team: "b"}))
	}
	received := server.run(10 * time.Second)
	require.InDelta(t, 5, received["a/Urgent"].Seconds(), 0.3)
}

// TestClassBounds guards against an overload of one class that uses up the bounds of the others, and against shared bounds left unused.
func TestClassBounds(t *testing.T) {
	tests := map[string]struct {
		order [acaciatally.UrgencyClasses]acaciatally.Urgency
		want  [acaciatally.UrgencyClasses]int // number accepted, in that order
	}{
		"urgent first":     {order: [3]acaciatally.Urgency{0, 1, 2}, want: [3]int{8, 4, 4}},
		"background first": {order: [3]acaciatally.Urgency{2, 0, 1}, want: [3]int{8, 4, 4}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := queue.New(queue.Config{MaxLength: 16})
			for i, urgency := range test.order {
				accepted := 0
				for team := range 40 {
					id := fmt.Sprint(urgency, "-", team)
					if q.Push(testStart, queue.Item{ID: id, Team: acaciatally.TeamName(id), Urgency: urgency}) == nil {
						accepted++
					}
				}
				require.Equal(t, test.want[i], accepted, urgency.String())
			}
		})
	}
}

// TestTeamBounds guards against an overload by one team that leaves other teams in its class no room.
func TestTeamBounds(t *testing.T) {
	q := queue.New(queue.Config{MaxLength: 160})
	accepted := func(team acaciatally.TeamName) (count int) {
		for i := range 200 {
			if q.Push(testStart, queue.Item{ID: fmt.Sprint(team, i), Team: team}) == nil {
				count++
			}
		}
		return count
	}
	require.Equal(t, 40, accepted("first"), "half of the class's bound of 80")
	require.Equal(t, 20, accepted("second"))
	require.Equal(t, 10, accepted("third"))
}

// TestTooLateToStart guards against slots spent on requests that would be cut off at their deadline before they are answered.
func TestTooLateToStart(t *testing.T) {
	q := newFilledQueue(t, queue.Config{}, 400, queue.Item{Team: "a"})
	server := &simulatedServer{queue: q, slots: 10, service: constantServiceTime, ends: map[time.Duration][]queue.Item{}}
	server.run(6 * time.Second)
	at := testStart.Add(server.now)
	require.NoError(t, q.Push(at, queue.Item{ID: "late", Team: "a", Deadline: at.Add(300 * time.Millisecond)}))
	at = at.Add(260 * time.Millisecond)
	_, found := q.Next(at, 10)
	require.False(t, found)
	expired := q.Expire(at)
	require.Len(t, expired, 1)
	require.Equal(t, "late", expired[0].ID)

	q = newFilledQueue(t, queue.Config{}, 400, queue.Item{Team: "a"})
	server.queue, server.now = q, 0
	server.run(2 * time.Second)
	at = testStart.Add(server.now)
	wait := q.ExpectedWait(at, queue.Item{Team: "a"})
	require.InDelta(t, 2, wait.Seconds(), 0.2)
	require.Error(t, q.Push(at, queue.Item{ID: "early", Team: "a", Deadline: at.Add(wait + 50*time.Millisecond)}))
}

// TestShortDeadlineStartsPromptly guards against short requests that are always refused because other requests of their team take
// long.
func TestShortDeadlineStartsPromptly(t *testing.T) {
	q := newFilledQueue(t, queue.Config{}, 400, queue.Item{Team: "a"})
	server := &simulatedServer{queue: q, slots: 100, service: constantServiceTime, ends: map[time.Duration][]queue.Item{}}
	server.run(time.Second)
	at := testStart.Add(server.now)
	require.NoError(t, q.Push(at, queue.Item{ID: "short", Team: "a", Deadline: at.Add(20 * time.Millisecond)}))
	_, found := q.Next(at.Add(9*time.Millisecond), 100)
	require.True(t, found)
}

// TestExpectedWaitOverQuota guards against refusing a team at its quota because of another team just below its quota: that team has a long
// queue, of which only one request can be granted first.
func TestExpectedWaitOverQuota(t *testing.T) {
	q := newFilledQueue(t, queue.Config{}, 600, queue.Item{Team: "flood", Urgency: 1})
	q.SetQuota("flood", 8)
	q.SetQuota("a", 2)
	for i := range 2 {
		q.AddHeld(testStart, queue.Item{ID: fmt.Sprint("held-", i), Team: "a", Urgency: 1})
	}
	for range 7 {
		_, found := q.Next(testStart, 9)
		require.True(t, found)
	}
	_, found := q.Next(testStart, 9)
	require.False(t, found)
	require.Less(t, q.ExpectedWait(testStart, queue.Item{Team: "a", Urgency: 1}), 100*time.Millisecond)
}
