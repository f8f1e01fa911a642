package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/command"
	"github.com/acaciatally/acaciatally/standin"
)

const (
	trialCallers   = 8
	trialOperators = 2
)

// order is an operator's command and what the operator was told.
type order struct {
	id, text string
	accepted bool
	refused  bool // as not run, by every try
	tries    []string
}

// submission is a task and what its team was told.
type submission struct {
	id        string
	accepted  bool
	refused   bool // as not run
	cancelled bool // the team was told so
}

// load sends requests, commands and tasks until the time is up.
func (s *trial) load() {
	var group sync.WaitGroup
	until := time.Now().Add(sequenceLoad)
	watched, stop := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { s.watch(watched) })
	for i := range trialCallers {
		one := &caller{d: s.d, name: string(rune('A' + i)), client: s.d.client(), random: rand.New(rand.NewPCG(1, uint64(i))), impatient: &s.impatient}
		s.callers = append(s.callers, one)
		group.Go(func() { one.work(until) })
	}
	for i := range trialOperators {
		group.Go(func() { s.operate(i, until) })
	}
	group.Go(func() { s.submit(until) })
	group.Wait()
	stop()
	watch.Wait()
}

// watch follows the versions in force in every entry.
func (s *trial) watch(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		_ = s.truth.Poll(ctx)
		s.versions()
	}
}

func (s *trial) versions() {
	for i := range s.entries {
		version := s.d.processes[i].log.State().Version
		if version < s.entries[i].version {
			s.breach("P8: entry %d went back from version %d to %d", i, s.entries[i].version, version)
		}
		s.entries[i].version = version
	}
}

// operate sends commands through random entries; a command without an answer is repeated under its id.
func (s *trial) operate(operator int, until time.Time) {
	random := rand.New(rand.NewPCG(2, uint64(operator)))
	for n := 0; time.Now().Before(until); n++ {
		one := order{id: fmt.Sprintf("order-%d-%d", operator, n), text: s.command(random, operator, n)}
		for range 4 {
			if s.send(random.IntN(trialEntries), &one) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		s.mu.Lock()
		s.orders = append(s.orders, one)
		s.mu.Unlock()
		time.Sleep(time.Duration(300+random.IntN(500)) * time.Millisecond)
	}
}

// command returns a command; racing operators contend for the same instance.
func (s *trial) command(random *rand.Rand, operator, n int) string {
	instance := string(rune('a' + random.IntN(trialWorkers)))
	if s.racing.Load() {
		instance = "b"
	}
	switch random.IntN(5) {
	case 0:
		return "drain " + instance
	case 1:
		return "undrain " + instance
	case 2:
		return "move " + instance + " to backoffice"
	case 3:
		return "move " + instance + " to coating"
	}
	return fmt.Sprintf("set quota team-%d %d", operator, n+1)
}

// send reports whether the order is settled.
func (s *trial) send(entry int, one *order) bool {
	wire := &host{network: s.d.network}
	client := command.NewClient(command.ClientConfig{
		Address: address(operatorPorts, entry), Token: trialToken, Timeout: 5 * time.Second, Dial: wire.Dial,
	})
	defer wire.die()
	_, err := client.Run(context.Background(), command.Order{ID: one.id, Text: one.text})
	var failure *command.Failure
	one.tries = append(one.tries, fmt.Sprintf("entry %d: %v", entry, err))
	notRun := errors.As(err, &failure) && failure.Outcome == acaciatally.NotRun
	one.accepted = err == nil
	one.refused = notRun && (one.refused || len(one.tries) == 1) // the refusal of a repetition says nothing of the tries before it
	return one.accepted || notRun
}

// submit sends tasks through random entries and cancels some.
func (s *trial) submit(until time.Time) {
	random := rand.New(rand.NewPCG(3, 3))
	client := s.d.client()
	client.Timeout = 10 * time.Second
	defer client.CloseIdleConnections()
	for n := 0; time.Now().Before(until); n++ {
		one := submission{id: fmt.Sprint("task-", n)}
		status, outcome := s.task(client, random.IntN(trialEntries), http.MethodPost, "/tasks", taskBody(one.id))
		one.accepted, one.refused = status == http.StatusAccepted, outcome == acaciatally.NotRun
		if one.accepted && (s.impatient.Load() || n%5 == 0) {
			status, _ = s.task(client, random.IntN(trialEntries), http.MethodDelete, "/tasks/"+one.id, "")
			one.cancelled = status == http.StatusOK
		}
		s.submitted = append(s.submitted, one)
		time.Sleep(500 * time.Millisecond)
	}
}

func taskBody(id string) string {
	uses := acaciatally.Resources{Processors: 0.1, Memory: 1 << 20}
	body, _ := json.Marshal(TaskRequest{
		ID: id, Pool: "coating", Urgency: "Normal", Processors: 0.1, Memory: 1 << 20,
		Command: standin.TaskProfile{Uses: uses, Work: 2 * time.Second}.Command(),
	})
	return string(body)
}

func (s *trial) task(client *http.Client, entry int, method, path, body string) (status int, outcome acaciatally.Outcome) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address(callerPorts, entry).String()+path, strings.NewReader(body))
	require.NoError(s.d.t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(acaciatally.TeamHeader, "survey")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	_ = response.Body.Close()
	return response.StatusCode, acaciatally.Outcome(response.Header.Get(acaciatally.OutcomeHeader))
}
