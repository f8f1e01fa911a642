package main

import (
	"strconv"
	"strings"
	"time"
)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"stuck-cursor":   stuckCursor(),
		"first-in-queue": firstInQueue(),
		"many-ends":      manyEnds(),
		"odd-entry":      oddEntry(),
		"timed-backlog":  timedBacklog(),
		"probing":        probingForever(),
		"other-kind":     otherKind(),
		"crash-loop":     crashLoop(),
	}
}

// index returns the number of a subtask within its step.
func index(task string) int {
	number, _ := strconv.Atoi(task[strings.LastIndex(task, ".")+1:])
	return number
}

// manyEnds lets more than 500 short subtasks end on a worker while it is cut off.
func manyEnds() scenario {
	const (
		tasks = 1200
		job   = "/quotes/00000000000000a1"
	)
	duration := func(task string) time.Duration { return time.Second + time.Duration(index(task))*7*time.Millisecond }
	return scenario{
		entries: 2,
		routes:  []route{{"quotes", "/quotes/", "intake"}},
		workers: sixWorkers(duration),
		play: func(b *bench) error {
			time.Sleep(2 * time.Second)
			if err := b.submit(job, map[string]any{"spec": "work", "steps": []any{
				map[string]any{"count": tasks, "cpu": 50, "memMb": 100, "estimateMs": 5000},
			}}, 5); err != nil {
				return err
			}
			time.Sleep(2500 * time.Millisecond)
			busiest := b.busiest()
			b.log.note("worker %s runs %d subtasks", busiest.id, busiest.runs())
			if b.trouble {
				busiest.setCut(true)
				time.Sleep(5 * time.Second)
				busiest.setCut(false)
			}
			for range 20 {
				time.Sleep(time.Second)
				if b.state(job) == "completed" {
					break
				}
			}
			return nil
		},
		check: checkTwice,
	}
}

// sixWorkers returns six workers of one service, like those of the site.
func sixWorkers(duration func(task string) time.Duration) func(b *bench) []*worker {
	return func(b *bench) (list []*worker) {
		for i := range 6 {
			number := strconv.Itoa(i)
			list = append(list, newWorker(b.log, workerConfig{
				id: "i-0" + number, machine: "m-0" + number, service: "intake", rack: "r-" + strconv.Itoa(i/4), cpu: 64000, memMB: 262144, duration: duration,
			}))
		}
		return list
	}
}
