package main

import (
	"fmt"
	"time"
)

// timedBacklog lets a schedule fall behind while all entries are without power, and hands a plain submission in to its queue afterwards.
func timedBacklog() scenario {
	const (
		timed = "/quotes/00000000000000c1"
		plain = "/quotes/00000000000000c2"
		width = 800
	)
	var plainAt time.Time
	return scenario{
		entries: 3,
		routes:  []route{{"quotes", "/quotes/", "intake"}},
		workers: sixWorkers(func(string) time.Duration { return 300 * time.Millisecond }),
		play: func(b *bench) error {
			time.Sleep(2 * time.Second)
			if err := b.submit(timed, map[string]any{
				"spec": "work", "steps": []any{map[string]any{"count": width, "cpu": 10, "memMb": 10, "estimateMs": 300}},
				"repeatCount": 45, "startAtMs": time.Now().Add(time.Second).UnixMilli(), "intervalMs": 1000,
			}, 5); err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
			if b.trouble {
				b.powerOff(9500 * time.Millisecond)
			} else {
				time.Sleep(9500 * time.Millisecond)
			}
			if err := b.waitReady(); err != nil {
				return err
			}
			time.Sleep(6 * time.Second)
			if err := b.submit(plain, map[string]any{"spec": "work", "steps": []any{map[string]any{"count": 6, "cpu": 3500, "memMb": 4000, "estimateMs": 800}}}, 20); err != nil {
				return err
			}
			plainAt = time.Now()
			for range 18 {
				time.Sleep(time.Second)
				b.state(plain)
			}
			return nil
		},
		check: func(b *bench) (broken []string) {
			if len(startsOf(b, "00000000000000c2.")) == 0 {
				broken = append(broken, fmt.Sprintf("LOST %s was accepted at %s and nothing of it ran for 18 s", plain, b.log.since(plainAt)))
			}
			return broken
		},
	}
}
