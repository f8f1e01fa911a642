package main

import (
	"fmt"
	"strings"
	"time"
)

// crashLoop hands in a subtask that crashes each worker that starts it, some seconds after the start.
func crashLoop() scenario {
	const job = "/quotes/00000000000000d1"
	crashes := 0 * time.Second
	crashAfter := func(task string) time.Duration {
		if strings.HasPrefix(task, "00000000000000d1.") {
			return crashes
		}
		return 0
	}
	return scenario{
		entries: 2,
		routes:  []route{{"quotes", "/quotes/", "intake"}},
		workers: func(b *bench) (list []*worker) {
			list = sixWorkers(func(string) time.Duration { return 6 * time.Second })(b)
			for _, w := range list {
				w.crashAfter = crashAfter
			}
			return list
		},
		play: func(b *bench) error {
			time.Sleep(2 * time.Second)
			if b.trouble {
				crashes = 2500 * time.Millisecond
			}
			for _, w := range b.workers {
				go func() {
					for {
						time.Sleep(50 * time.Millisecond)
						if w.silent() {
							time.Sleep(4 * time.Second)
							w.boot(w.kind, w.cpu)
							b.beatNow(w)
						}
					}
				}()
			}
			if err := b.submit(job, map[string]any{"spec": "work", "steps": []any{map[string]any{"count": 1, "cpu": 3500, "memMb": 4000, "estimateMs": 6000}}}, 5); err != nil {
				return err
			}
			for range 75 {
				time.Sleep(time.Second)
				if state := b.state(job); state == "completed" || state == "failed" {
					break
				}
			}
			return nil
		},
		check: checkCrashBudget,
	}
}

// checkCrashBudget checks BUDGET for a subtask that crashes its workers: at most two more starts after three workers have crashed under it.
func checkCrashBudget(b *bench) (broken []string) {
	crashes, starts := map[string]int{}, map[string]int{}
	for _, e := range b.log.all() {
		switch {
		case e.kind == eventCrash && e.task != "":
			crashes[e.task]++
		case e.kind == eventStart && crashes[e.task] >= 3:
			starts[e.task]++
			if starts[e.task] >= 3 {
				broken = append(broken, fmt.Sprintf("BUDGET %s starts on %s as run %d at %s, the start number %d after three workers have crashed under it",
					e.task, e.worker, e.attempt, b.log.since(e.at), starts[e.task]))
			}
		}
	}
	return broken
}
