package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// probingForever lets the one worker of a kind fail all that it starts for some seconds, while a lasting subtask runs on it, and hands a
// submission for that kind in after it has recovered.
func probingForever() scenario {
	const (
		lasting = "/cert/00000000000000e1"
		later   = "/quotes/00000000000000e2"
	)
	var failing atomic.Bool
	var acceptedAt time.Time
	step := map[string]any{"count": 6, "cpu": 3500, "memMb": 4000, "estimateMs": 800, "requirements": "b"}
	return scenario{
		entries: 2,
		routes:  []route{{"quotes", "/quotes/", "intake"}, {"cert", "/cert/", "intake"}},
		workers: func(b *bench) (list []*worker) {
			for i := range 12 {
				number := strconv.Itoa(10 + i)
				config := workerConfig{
					id: "i-" + number, machine: "m-" + number, service: "intake", rack: "r-" + strconv.Itoa(i/4), cpu: 64000, memMB: 262144,
					duration: func(task string) time.Duration {
						if strings.HasPrefix(task, "00000000000000e1.") {
							return -1
						}
						return 800 * time.Millisecond
					},
				}
				if i == 11 {
					config.kind, config.fails = "b", failing.Load
				}
				list = append(list, newWorker(b.log, config))
			}
			return list
		},
		play: func(b *bench) error {
			time.Sleep(2 * time.Second)
			if err := b.submit(lasting, map[string]any{"spec": "work", "steps": []any{
				map[string]any{"count": 1, "cpu": 2700, "memMb": 13000, "estimateMs": 900, "requirements": "b", "longRunning": true, "antiAffinity": 1},
			}}, 5); err != nil {
				return err
			}
			time.Sleep(2 * time.Second)
			failing.Store(b.trouble)
			b.log.note("worker i-21 fails what it starts: %v", b.trouble)
			for i := range 10 {
				if err := b.submit(fmt.Sprintf("/quotes/%016x", 0xe100+i), map[string]any{"spec": "work", "steps": []any{step}}, 5); err != nil {
					return err
				}
				time.Sleep(500 * time.Millisecond)
			}
			failing.Store(false)
			b.log.note("worker i-21 is sound")
			time.Sleep(8 * time.Second)
			if err := b.submit(later, map[string]any{"spec": "work", "steps": []any{step}}, 5); err != nil {
				return err
			}
			acceptedAt = time.Now()
			for range 18 { // finish_s and the 3 s of the rule, with a second to spare
				time.Sleep(time.Second)
				b.state(later)
			}
			b.state(lasting)
			return nil
		},
		check: func(b *bench) (broken []string) {
			if len(startsOf(b, "00000000000000e2.")) == 0 {
				broken = append(broken, fmt.Sprintf("LOST %s was accepted at %s and nothing of it ran for 18 s; its worker is sound and runs %d subtasks",
					later, b.log.since(acceptedAt), b.workers[11].runs()))
			}
			return broken
		},
	}
}
