package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/queue"
)

// BenchmarkGrant measures one cycle of Push, Release and Next for several numbers of queued items and teams.
func BenchmarkGrant(b *testing.B) {
	for _, queued := range []int{100, 1_000, 10_000} {
		for _, teams := range []int{5, 40, 320} {
			b.Run(fmt.Sprintf("Queued=%d/Teams=%d", queued, teams), func(b *testing.B) { benchmarkGrant(b, queued, teams) })
		}
	}
}

func benchmarkGrant(b *testing.B, queued, teams int) {
	const slots = 96
	q := queue.New(queue.Config{MaxLength: 30_000, Team: queue.Bounds{Length: 30_000}})
	items := make([]queue.Item, queued+slots+1)
	for i := range items {
		items[i] = queue.Item{
			ID: fmt.Sprint(i), Team: acaciatally.TeamName(fmt.Sprint("team-", i%teams)), Urgency: acaciatally.Urgency(i % 3),
			Deadline: testStart.Add(time.Hour + time.Duration(i*7919%queued)*time.Millisecond),
		}
	}
	for i := range teams {
		q.SetQuota(acaciatally.TeamName(fmt.Sprint("team-", i)), 8)
	}
	for _, item := range items[:queued+slots] {
		require.NoError(b, q.Push(testStart, item))
	}
	held := make([]queue.Item, 0, slots)
	for range slots {
		item, _ := q.Next(testStart, slots)
		held = append(held, item)
	}
	free := items[queued+slots]
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if err := q.Push(testStart, free); err != nil {
			b.Fatal(err)
		}
		free = held[i%slots]
		q.Release(testStart, free, 100*time.Millisecond)
		held[i%slots], _ = q.Next(testStart, slots)
	}
}
