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
	callerCount   = 8
	operatorCount = 2
)

// operatorCommand is an operator's command with its result as the operator saw it.
type operatorCommand struct {
	id, text string
	accepted bool
	refused  bool // as not run, in every attempt
	attempts []string
}

// submission is a task with its result as the caller saw it.
type submission struct {
	id        string
	accepted  bool
	refused   bool // as not run
	cancelled bool // as the answer to the cancellation said
}

// runLoad sends requests, commands and tasks for the duration of the load.
func (b *testbed) runLoad() {
	var group sync.WaitGroup
	until := time.Now().Add(loadDuration)
	watchCtx, stop := context.WithCancel(context.Background())
	var watch sync.WaitGroup
	watch.Go(func() { b.watchVersions(watchCtx) })
	for i := range callerCount {
		one := &caller{d: b.d, name: string(rune('A' + i)), client: b.d.client(), random: rand.New(rand.NewPCG(1, uint64(i))), impatient: &b.impatient}
		b.callers = append(b.callers, one)
		group.Go(func() { one.sendUntil(until) })
	}
	for i := range operatorCount {
		group.Go(func() { b.sendCommands(i, until) })
	}
	group.Go(func() { b.submitTasks(until) })
	group.Wait()
	stop()
	watch.Wait()
}

// watchVersions checks continuously that the version of no entry decreases.
func (b *testbed) watchVersions(ctx context.Context) {
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		_ = b.directLog.Poll(ctx)
		b.checkVersions()
	}
}

func (b *testbed) checkVersions() {
	for i := range b.entries {
		version := b.d.processes[i].log.State().Version
		if version < b.entries[i].version {
			b.addViolation("P8: entry %d went back from version %d to %d", i, b.entries[i].version, version)
		}
		b.entries[i].version = version
	}
}

// sendCommands sends commands through random entries. A command without a definite result is repeated under its id.
func (b *testbed) sendCommands(operator int, until time.Time) {
	random := rand.New(rand.NewPCG(2, uint64(operator)))
	for n := 0; time.Now().Before(until); n++ {
		one := operatorCommand{id: fmt.Sprintf("order-%d-%d", operator, n), text: b.drawCommand(random, operator, n)}
		for range 4 {
			if b.sendCommand(random.IntN(entryCount), &one) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
		b.mu.Lock()
		b.commands = append(b.commands, one)
		b.mu.Unlock()
		time.Sleep(time.Duration(300+random.IntN(500)) * time.Millisecond)
	}
}

// drawCommand returns a random command. While operators conflict, all commands name the same instance.
func (b *testbed) drawCommand(random *rand.Rand, operator, n int) string {
	instance := string(rune('a' + random.IntN(workerCount)))
	if b.contending.Load() {
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

// sendCommand sends the command once and reports whether it was accepted or refused as not run, so that no repetition is needed.
func (b *testbed) sendCommand(entry int, one *operatorCommand) bool {
	clientHost := &host{network: b.d.network}
	client := command.NewClient(command.ClientConfig{
		Address: address(operatorPorts, entry), Token: operatorToken, Timeout: 5 * time.Second, Dial: clientHost.Dial,
	})
	defer clientHost.kill()
	_, err := client.Run(context.Background(), command.Request{ID: one.id, Text: one.text})
	var failure *command.Failure
	one.attempts = append(one.attempts, fmt.Sprintf("entry %d: %v", entry, err))
	notRun := errors.As(err, &failure) && failure.Outcome == acaciatally.NotRun
	one.accepted = err == nil
	one.refused = notRun && (one.refused || len(one.attempts) == 1) // the refusal of a repetition does not cover earlier attempts
	return one.accepted || notRun
}

// submitTasks submits tasks through random entries and cancels some of them.
func (b *testbed) submitTasks(until time.Time) {
	random := rand.New(rand.NewPCG(3, 3))
	client := b.d.client()
	client.Timeout = 10 * time.Second
	defer client.CloseIdleConnections()
	for n := 0; time.Now().Before(until); n++ {
		one := submission{id: fmt.Sprint("task-", n)}
		status, outcome := b.callTaskAPI(client, random.IntN(entryCount), http.MethodPost, "/tasks", taskBody(one.id))
		one.accepted, one.refused = status == http.StatusAccepted, outcome == acaciatally.NotRun
		if one.accepted && (b.impatient.Load() || n%5 == 0) {
			status, _ = b.callTaskAPI(client, random.IntN(entryCount), http.MethodDelete, "/tasks/"+one.id, "")
			one.cancelled = status == http.StatusOK
		}
		b.submissions = append(b.submissions, one)
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

func (b *testbed) callTaskAPI(client *http.Client, entry int, method, path, body string) (status int, outcome acaciatally.Outcome) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address(callerPorts, entry).String()+path, strings.NewReader(body))
	require.NoError(b.d.t, err)
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(acaciatally.TeamHeader, "survey")
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	_ = response.Body.Close()
	return response.StatusCode, acaciatally.Outcome(response.Header.Get(acaciatally.OutcomeHeader))
}
