package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// otherKind restarts a worker under its id as one of another kind while start orders are on their way to it.
func otherKind() scenario {
	return scenario{
		entries: 2,
		routes:  []route{{"quotes", "/quotes/", "intake"}},
		workers: sixWorkers(func(string) time.Duration { return 800 * time.Millisecond }),
		play: func(b *bench) error {
			time.Sleep(2 * time.Second)
			for i := range 60 {
				go b.request(http.MethodPost, b.entries[i%2], fmt.Sprintf("/quotes/%016x", 0xe000+i), map[string]any{"spec": "work", "steps": []any{
					map[string]any{"count": 6, "cpu": 500, "memMb": 1000, "estimateMs": 800, "requirements": "a"},
				}})
				time.Sleep(100 * time.Millisecond)
				if i == 25 && b.trouble {
					busiest := b.busiest()
					busiest.goDark()
					time.AfterFunc(1500*time.Millisecond, func() {
						busiest.boot("b", busiest.cpu)
						b.beatNow(busiest)
					})
				}
			}
			time.Sleep(6 * time.Second)
			return nil
		},
		check: func(b *bench) (broken []string) {
			kind := map[string]string{}
			for _, e := range b.log.all() {
				switch e.kind {
				case eventBoot:
					kind[e.worker] = strings.Fields(e.how)[3]
				case eventStart:
					if kind[e.worker] != "a" {
						broken = append(broken, fmt.Sprintf("ROUTE %s starts on %s as run %d at %s, which has the label %s and not a", e.task, e.worker, e.attempt, b.log.since(e.at), kind[e.worker]))
					}
				}
			}
			return broken
		},
	}
}
