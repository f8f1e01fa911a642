package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// stuckCursor cancels one running submission and then lets plain submissions go on for more than 500 ends on its worker. At the end the
// leader is stopped gracefully.
func stuckCursor() scenario {
	const (
		streamFor = 35 * time.Second
		interval  = 50 * time.Millisecond
	)
	duration := func(task string) time.Duration {
		if strings.HasPrefix(task, "000000000000c") {
			return 2 * time.Second
		}
		return 300 * time.Millisecond
	}
	return scenario{
		entries: 3,
		routes:  []route{{"quotes", "/quotes/", "intake"}, {"cert", "/cert/", "intake"}},
		workers: sixWorkers(duration),
		play: func(b *bench) error {
			time.Sleep(2 * time.Second)
			var calls sync.WaitGroup
			last := ""
			for i := 0; time.Duration(i)*interval < streamFor; i++ {
				if i%20 == 10 {
					calls.Go(func() { b.handInAndCancel(fmt.Sprintf("/cert/%016x", 0xc000+i)) })
				}
				last = fmt.Sprintf("/quotes/%016x", 0xa000+i)
				calls.Go(func() {
					_ = b.submit(fmt.Sprintf("/quotes/%016x", 0xa000+i), map[string]any{"spec": "work", "steps": []any{
						map[string]any{"count": 6, "cpu": 3500, "memMb": 4000, "estimateMs": 300},
					}}, 5)
				})
				time.Sleep(interval)
			}
			calls.Wait()
			time.Sleep(14 * time.Second) // finish_s
			b.state(last)
			leader := b.leader()
			if leader == nil {
				return fmt.Errorf("no entry leads")
			}
			b.log.note("entry %s gets SIGTERM", leader.name)
			_ = leader.process.Process.Signal(syscall.SIGTERM)
			time.Sleep(10 * time.Second)
			b.state(last)
			return nil
		},
		check: checkTwice,
	}
}

// handInAndCancel hands a submission in and, in trouble, cancels it soon after its ack.
func (b *bench) handInAndCancel(path string) {
	if b.submit(path, map[string]any{"spec": "work", "steps": []any{
		map[string]any{"count": 6, "cpu": 500, "memMb": 1000, "estimateMs": 2000},
	}}, 5) != nil || !b.trouble {
		return
	}
	time.Sleep(600 * time.Millisecond)
	b.request(http.MethodDelete, b.entries[0], path, nil)
}
