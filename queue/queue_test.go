package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
)

// flooded returns a queue in which each team has the same number of items queued in its class.
func flooded(t *testing.T, config queue.Config, length int, teams ...queue.Item) *queue.Queue {
	t.Helper()
	created := queue.New(config)
	for i := range length {
		for _, like := range teams {
			like.ID = fmt.Sprintf("%s-%s-%d", like.Team, like.Urgency, i)
			require.NoError(t, created.Push(testStart, like))
		}
	}
	return created
}

// server serves a queue in virtual time.
type server struct {
	queue   *queue.Queue
	slots   int
	service func(queue.Item) time.Duration
	now     time.Duration
	ends    map[time.Duration][]queue.Item
}

// run serves for some time and returns the slot time of each team and class.
func (s *server) run(duration time.Duration) map[string]time.Duration {
	received := map[string]time.Duration{}
	for until := s.now + duration; s.now < until; s.now += 10 * time.Millisecond {
		for _, item := range s.ends[s.now] {
			s.queue.Done(testStart.Add(s.now), item, s.service(item))
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

func constant(queue.Item) time.Duration { return 100 * time.Millisecond }

// TestShares guards against teams and classes that take slot time beyond their share while others wait.
func TestShares(t *testing.T) {
	tests := map[string]struct {
		slots   int
		quotas  map[acaciatally.TeamName]int
		teams   []queue.Item
		service func(queue.Item) time.Duration
		want    map[string]float64 // share of all slot time
	}{
		"classes keep their floors and the rest goes to the most urgent": {
			slots: 20, service: constant,
			teams: []queue.Item{{Team: "a", Urgency: 0}, {Team: "b", Urgency: 1}, {Team: "c", Urgency: 2}},
			want:  map[string]float64{"a/Urgent": 0.6, "b/Normal": 0.3, "c/Background": 0.1},
		},
		"floors of less than a slot are shares of time": {
			slots: 1, service: constant,
			teams: []queue.Item{{Team: "a", Urgency: 0}, {Team: "b", Urgency: 1}, {Team: "c", Urgency: 2}},
			want:  map[string]float64{"a/Urgent": 0.55, "b/Normal": 0.33, "c/Background": 0.11},
		},
		"an idle class leaves its floor": {
			slots: 10, service: constant,
			teams: []queue.Item{{Team: "c", Urgency: 2}},
			want:  map[string]float64{"c/Background": 1},
		},
		"slow requests earn a team no more slots": {
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
		"a team over its quota waits behind the others": {
			slots: 20, service: constant, quotas: map[acaciatally.TeamName]int{"a": 8},
			teams: []queue.Item{{Team: "a", Urgency: 1}, {Team: "b", Urgency: 1}},
			want:  map[string]float64{"a/Normal": 0.4, "b/Normal": 0.6},
		},
		"a team over its quota uses what others leave": {
			slots: 10, service: constant, quotas: map[acaciatally.TeamName]int{"a": 2},
			teams: []queue.Item{{Team: "a", Urgency: 1}},
			want:  map[string]float64{"a/Normal": 1},
		},
		"urgent work over its quota takes no floor": {
			slots: 20, service: constant, quotas: map[acaciatally.TeamName]int{"a": 2},
			teams: []queue.Item{{Team: "a", Urgency: 0}, {Team: "b", Urgency: 1}},
			want:  map[string]float64{"a/Urgent": 0.1, "b/Normal": 0.9},
		},
		"floors hold among teams over their quotas": {
			slots: 20, service: constant, quotas: map[acaciatally.TeamName]int{"a": 1, "b": 1, "c": 1},
			teams: []queue.Item{{Team: "a", Urgency: 0}, {Team: "b", Urgency: 1}, {Team: "c", Urgency: 2}},
			want:  map[string]float64{"a/Urgent": 0.6, "b/Normal": 0.3, "c/Background": 0.1},
		},
		"requests that do not end take no more slots": {
			slots: 20, teams: []queue.Item{{Team: "a", Urgency: 1}, {Team: "b", Urgency: 1}},
			service: func(item queue.Item) time.Duration {
				if item.Team == "a" {
					return time.Hour
				}
				return 50 * time.Millisecond
			},
			want: map[string]float64{"a/Normal": 0.5, "b/Normal": 0.5},
		},
		"quotas weigh": {
			slots: 6, service: constant, quotas: map[acaciatally.TeamName]int{"a": 20, "b": 40},
			teams: []queue.Item{{Team: "a", Urgency: 1}, {Team: "b", Urgency: 1}},
			want:  map[string]float64{"a/Normal": 1.0 / 3, "b/Normal": 2.0 / 3},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			q := flooded(t, queue.Config{MaxLength: 30000, Team: queue.Bounds{Length: 9000}}, 4000, test.teams...)
			for team, quota := range test.quotas {
				q.SetQuota(team, quota)
			}
			const until = 20 * time.Second
			server := &server{queue: q, slots: test.slots, service: test.service, ends: map[time.Duration][]queue.Item{}}
			received := server.run(until)
			for key, share := range test.want {
				require.InDelta(t, share, received[key].Seconds()/(until.Seconds()*float64(test.slots)), 0.03, key)
			}
		})
	}
}

// TestRefusals guards against untruthful refusals: full queues, waits beyond the deadline, and times to come back.
func TestRefusals(t *testing.T) {
	full := queue.Config{MaxLength: 12, MaxBytes: 1200, Class: queue.Bounds{Length: 8, Bytes: 1000}, Team: queue.Bounds{Length: 4, Bytes: 600}}
	tests := map[string]struct {
		teams  []queue.Item
		length int
		item   queue.Item
		reason string
	}{
		"accepted":          {teams: []queue.Item{{Team: "a"}}, length: 2, item: queue.Item{Team: "a"}},
		"team is full":      {teams: []queue.Item{{Team: "a"}}, length: 4, item: queue.Item{Team: "a"}, reason: "the queue of the team is full"},
		"other team enters": {teams: []queue.Item{{Team: "a"}}, length: 4, item: queue.Item{Team: "b"}},
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
			q := flooded(t, full, test.length, test.teams...)
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

// TestExpectedWait guards against a wait that is far from what requests then experience: the pool serves 100 requests a second.
func TestExpectedWait(t *testing.T) {
	q := flooded(t, queue.Config{MaxLength: 30000}, 1000, queue.Item{Team: "a", Urgency: 1})
	server := &server{queue: q, slots: 10, service: constant, ends: map[time.Duration][]queue.Item{}}
	server.run(2 * time.Second)
	at := testStart.Add(2 * time.Second)
	require.InDelta(t, 8.1, q.ExpectedWait(at, queue.Item{Team: "a", Urgency: 1}).Seconds(), 0.3, "own queue of 800")
	require.Less(t, q.ExpectedWait(at, queue.Item{Team: "b", Urgency: 1}), 200*time.Millisecond, "another team passes")
	require.Less(t, q.ExpectedWait(at, queue.Item{Team: "a", Urgency: 0}), 200*time.Millisecond, "a more urgent class passes")

	late := queue.Item{ID: "late", Team: "a", Urgency: 1, Deadline: at.Add(3 * time.Second)}
	var refusal *acaciatally.Refusal
	require.ErrorAs(t, q.Push(at, late), &refusal)
	require.InDelta(t, 5.1, refusal.RetryAfter.Seconds(), 0.3)

	wait := refusal.RetryAfter.Truncate(10 * time.Millisecond)
	server.run(wait)
	late.Deadline = late.Deadline.Add(wait + 200*time.Millisecond)
	require.NoError(t, q.Push(at.Add(wait), late), "the time to come back was too short")
}

// TestHeldSlots guards against a new slot home that grants slots which entries still hold.
func TestHeldSlots(t *testing.T) {
	q := flooded(t, queue.Config{}, 5, queue.Item{Team: "a"})
	q.Hold(testStart, queue.Item{ID: "old", Team: "b"})
	q.Hold(testStart, queue.Item{ID: "a-Urgent-0", Team: "a"})
	_, found := q.Next(testStart, 2)
	require.False(t, found)
	q.Done(testStart, queue.Item{ID: "old"}, time.Second)
	item, found := q.Next(testStart, 2)
	require.True(t, found)
	require.Equal(t, "a-Urgent-1", item.ID)
}

// TestDeadlineOrder guards against a team's request that expires behind one that has more time.
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

// TestIdleTimeEarnsNothing guards against a team that returns after a pause and then takes all slots for as long.
func TestIdleTimeEarnsNothing(t *testing.T) {
	q := flooded(t, queue.Config{}, 400, queue.Item{Team: "a"})
	server := &server{queue: q, slots: 1, service: constant, ends: map[time.Duration][]queue.Item{}}
	server.run(20 * time.Second)
	for i := range 100 {
		require.NoError(t, q.Push(testStart.Add(server.now), queue.Item{ID: fmt.Sprint(i), Team: "b"}))
	}
	received := server.run(10 * time.Second)
	require.InDelta(t, 5, received["a/Urgent"].Seconds(), 0.3)
}

// TestRoomOfClasses guards against a flood in one class that fills the room of the others, and against room left unused.
func TestRoomOfClasses(t *testing.T) {
	tests := map[string]struct {
		order [acaciatally.UrgencyClasses]acaciatally.Urgency
		want  [acaciatally.UrgencyClasses]int // accepted, in that order
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

// TestRoomOfTeams guards against a team whose flood leaves no room in its class for other teams.
func TestRoomOfTeams(t *testing.T) {
	q := queue.New(queue.Config{MaxLength: 160})
	accepted := func(team acaciatally.TeamName) (count int) {
		for i := range 200 {
			if q.Push(testStart, queue.Item{ID: fmt.Sprint(team, i), Team: team}) == nil {
				count++
			}
		}
		return count
	}
	require.Equal(t, 40, accepted("first"), "half of the 80 of its class")
	require.Equal(t, 20, accepted("second"))
	require.Equal(t, 10, accepted("third"))
}

// TestTooLateToStart guards against slots spent on requests that are cut off at their deadline before they are answered.
func TestTooLateToStart(t *testing.T) {
	q := flooded(t, queue.Config{}, 400, queue.Item{Team: "a"})
	server := &server{queue: q, slots: 10, service: constant, ends: map[time.Duration][]queue.Item{}}
	server.run(6 * time.Second)
	at := testStart.Add(server.now)
	require.NoError(t, q.Push(at, queue.Item{ID: "late", Team: "a", Deadline: at.Add(300 * time.Millisecond)}))
	at = at.Add(260 * time.Millisecond)
	_, found := q.Next(at, 10)
	require.False(t, found)
	expired := q.Expire(at)
	require.Len(t, expired, 1)
	require.Equal(t, "late", expired[0].ID)

	q = flooded(t, queue.Config{}, 400, queue.Item{Team: "a"})
	server.queue, server.now = q, 0
	server.run(2 * time.Second)
	at = testStart.Add(server.now)
	wait := q.ExpectedWait(at, queue.Item{Team: "a"})
	require.InDelta(t, 2, wait.Seconds(), 0.2)
	require.Error(t, q.Push(at, queue.Item{ID: "early", Team: "a", Deadline: at.Add(wait + 50*time.Millisecond)}))
}

// TestPromptStart guards against short requests that are refused for ever because other requests of their team take long.
func TestPromptStart(t *testing.T) {
	q := flooded(t, queue.Config{}, 400, queue.Item{Team: "a"})
	server := &server{queue: q, slots: 100, service: constant, ends: map[time.Duration][]queue.Item{}}
	server.run(time.Second)
	at := testStart.Add(server.now)
	require.NoError(t, q.Push(at, queue.Item{ID: "short", Team: "a", Deadline: at.Add(20 * time.Millisecond)}))
	_, found := q.Next(at.Add(9*time.Millisecond), 100)
	require.True(t, found)
}
