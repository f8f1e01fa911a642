package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	_ "github.com/acaciatally/acaciatally/console" // the program under test, so that no result of an earlier one is taken from the cache
	"github.com/acaciatally/acaciatally/platform/emulator"
)

const (
	startTime = 2 * time.Second // until the entries serve
	// settleTime is the time after the last fault within which everything accepted has to be done: contact, and the bound on the end of a day.
	settleTime = contact + 14*time.Second
	seriesTime = 8 * time.Second
	callerSpan = seriesTime + 2*time.Second
)

var (
	from    = flag.Uint64("from", 1, "first seed of TestSeeds")
	seeds   = flag.Uint64("seeds", 2, "number of seeds of TestSeeds")
	fresh   = flag.Duration("fresh", 0, "how long TestFresh plays seeds drawn from the time")
	keep    = flag.String("keep", "", "folder for the logs of failed seeds")
	entries = flag.Int("entries", 3, "entries of a deployment")
	fleet   = flag.Int("machines", 12, "machines of a deployment")
)

var program string

// TestMain builds the program whose processes are tested.
func TestMain(m *testing.M) {
	flag.Parse()
	folder, err := os.MkdirTemp("", "soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	program = filepath.Join(folder, "acaciatally")
	build := exec.CommandContext(context.Background(), "go", "build", "-o", program, "../cmd/acaciatally")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// TestSeeds guards against promises that a drawn series of faults breaks.
func TestSeeds(t *testing.T) {
	for seed := *from; seed < *from+*seeds; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			play(t, seed)
		})
	}
}

// TestFresh plays seeds that nobody has seen before.
func TestFresh(t *testing.T) {
	for end := time.Now().Add(*fresh); time.Now().Before(end); {
		seed := uint64(time.Now().UnixNano())
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { play(t, seed) })
	}
}

// TestRegressions guards against the return of what a seed has found; each line of the file has a seed and the cause.
func TestRegressions(t *testing.T) {
	file, err := os.Open("testdata/seeds.txt")
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		number, cause, found := strings.Cut(scanner.Text(), " ")
		if !found || strings.HasPrefix(number, "#") {
			continue
		}
		seed, err := strconv.ParseUint(number, 10, 64)
		require.NoError(t, err)
		t.Run(number, func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			play(t, seed)
		})
	}
}

// play runs a deployment under the series of a seed and checks what callers and workers saw.
func play(t *testing.T, seed uint64) {
	d := newDeployment(t, program, *entries, *fleet)
	plan := newSeries(seed, seriesTime)
	c := newCallers(d)
	go d.balance(t.Context())
	time.Sleep(startTime)
	ctx, cancel := context.WithTimeout(t.Context(), callerSpan)
	defer cancel()
	var all sync.WaitGroup
	for caller := range uint64(4) {
		all.Go(func() { c.run(ctx, seed+caller) })
	}
	plan.play(d)
	d.heal()
	healed := time.Now()
	all.Wait()
	time.Sleep(contact)
	c.settle(healed)
	c.checkRuns()
	if len(c.faults) > 0 {
		d.keepLogs(seed)
		t.Errorf("seed %d:%s\nbroken:\n  %s", seed, plan, strings.Join(c.faults, "\n  "))
	}
}

// keepLogs copies the entries' logs to the folder that was asked for.
func (d *deployment) keepLogs(seed uint64) {
	if *keep == "" {
		return
	}
	for _, e := range d.entries {
		content, err := os.ReadFile(filepath.Join(d.dir, e.name+".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(*keep, fmt.Sprintf("%d-%s.log", seed, e.name)), content, 0o600)
		}
		if err != nil {
			d.t.Log(err)
		}
	}
}

// settle waits until all accepted jobs are shown as done at every entry, within the bound.
func (c *callers) settle(healed time.Time) {
	client := c.d.client()
	defer client.CloseIdleConnections()
	deadline := healed.Add(settleTime)
	for id, job := range c.jobs {
		if !job.accepted || job.cancelled {
			continue
		}
		for _, e := range c.d.entries {
			state := c.check(client, e, job)
			for state != "completed" && time.Now().Before(deadline) {
				time.Sleep(100 * time.Millisecond)
				state = c.check(client, e, job)
			}
			if state != "completed" {
				c.broken("%s at %s: %q, not completed %s after the last fault", id, e.name, state, settleTime)
				break
			}
		}
	}
}

// checkRuns compares what workers ran with what callers were told.
func (c *callers) checkRuns() {
	runs := c.d.ledger.Runs()
	byTask := map[string][]emulator.Run{}
	ran := map[string]bool{}
	for _, run := range runs {
		byTask[run.Task] = append(byTask[run.Task], run)
		id, _, _ := strings.Cut(run.Task, ".")
		ran[id] = true
	}
	for id := range ran {
		if job := c.jobs[id]; job == nil {
			c.broken("%s runs, and nobody has submitted it", id)
		} else if !job.accepted && !job.unsure {
			c.broken("%s runs, and every try to submit it was refused", id)
		}
	}
	for id, job := range c.jobs {
		if job.completed && !ran[id] {
			c.broken("%s is shown as completed and never ran", id)
		}
	}
	for task, list := range byTask {
		c.checkTask(task, list)
	}
}

// checkTask requires that no run began while another one of the task went on, or after its end was acknowledged as done.
func (c *callers) checkTask(task string, runs []emulator.Run) {
	for i, earlier := range runs {
		for _, later := range runs[i+1:] {
			if earlier.Ended.IsZero() || earlier.Ended.After(later.Began) {
				c.broken("%s runs twice at once: %+v, %+v", task, earlier, later)
			}
			if earlier.End == "done" && earlier.Noted {
				c.broken("%s began again after it was done: %+v, %+v", task, earlier, later)
			}
		}
	}
}
