package soak

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/console"
	"github.com/acaciatally/acaciatally/platform/emulator"
)

const (
	startupTime = 2 * time.Second // until the entries are ready
	// completionTimeout is how long after the last fault all accepted jobs have to be completed: reconnectTime, plus the 14 s that the
	// platform allows for this at the end of a day.
	completionTimeout = reconnectTime + 14*time.Second
	scheduleDuration  = 8 * time.Second
	callerDuration    = scheduleDuration + 2*time.Second
)

var (
	firstSeed     = flag.Uint64("from", 1, "first seed of TestSeeds")
	seedCount     = flag.Uint64("seeds", 2, "number of seeds of TestSeeds")
	freshDuration = flag.Duration("fresh", 0, "how long TestFresh runs seeds derived from the current time")
	logFolder     = flag.String("keep", "", "folder to which the logs of failed seeds are copied")
	entryCount    = flag.Int("entries", 3, "number of entries of a deployment")
	instanceCount = flag.Int("machines", 12, "number of instances of a deployment")
)

var program string

// linkProgram makes the program under test a part of the test binary, by a harmless call, so that each change to it invalidates cached test results.
func linkProgram() {
	console.Run(console.Config{Arguments: []string{"version"}, Output: io.Discard, Errors: io.Discard, Getenv: os.Getenv})
}

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
	linkProgram()
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

// TestSeeds guards against lost jobs, duplicate runs, wrong job states and connections that are cut without a fault, under the random fault
// schedule of each seed.
func TestSeeds(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed)
		})
	}
}

// TestFresh runs seeds that were not used before, to find failures that the fixed seeds do not cause.
func TestFresh(t *testing.T) {
	for end := time.Now().Add(*freshDuration); time.Now().Before(end); {
		seed := uint64(time.Now().UnixNano())
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runSeed(t, seed) })
	}
}

// TestRegressions runs the seeds that have failed before; each line of the file has a seed and the cause of its failure.
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
			runSeed(t, seed)
		})
	}
}

// runSeed runs a deployment under the fault schedule of a seed and checks what callers and workers observed.
func runSeed(t *testing.T, seed uint64) {
	d := newDeployment(t, program, *entryCount, *instanceCount)
	faultSchedule := newSchedule(seed, scheduleDuration)
	c := newCallers(d)
	go d.runHealthChecks(t.Context())
	time.Sleep(startupTime)
	ctx, cancel := context.WithTimeout(t.Context(), callerDuration)
	defer cancel()
	var all sync.WaitGroup
	for caller := range uint64(4) {
		all.Go(func() { c.run(ctx, seed+caller) })
	}
	faultSchedule.run(d)
	d.clearFaults()
	clearedAt := time.Now()
	all.Wait()
	time.Sleep(reconnectTime)
	c.awaitCompletion(clearedAt)
	c.checkRuns()
	if len(c.violations) > 0 {
		d.keepLogs(seed)
		t.Errorf("seed %d:%s\nviolations:\n  %s", seed, faultSchedule, strings.Join(c.violations, "\n  "))
	}
}

// keepLogs copies the entries' logs to the folder of the flag -keep, if it is set.
func (d *deployment) keepLogs(seed uint64) {
	if *logFolder == "" {
		return
	}
	for _, e := range d.entries {
		content, err := os.ReadFile(filepath.Join(d.dir, e.name+".log"))
		if err == nil {
			err = os.WriteFile(filepath.Join(*logFolder, fmt.Sprintf("%d-%s.log", seed, e.name)), content, 0o600)
		}
		if err != nil {
			d.t.Log(err)
		}
	}
}

// awaitCompletion requires that every entry reports all accepted jobs as completed within completionTimeout.
func (c *callers) awaitCompletion(clearedAt time.Time) {
	client := c.d.client()
	defer client.CloseIdleConnections()
	deadline := clearedAt.Add(completionTimeout)
	for id, job := range c.jobs {
		if !job.accepted || job.cancelled {
			continue
		}
		for _, e := range c.d.entries {
			state := c.checkJob(client, e, job)
			for state != "completed" && time.Now().Before(deadline) {
				time.Sleep(100 * time.Millisecond)
				state = c.checkJob(client, e, job)
			}
			if state != "completed" {
				c.reportViolation("%s at %s: state is %q, not completed, %s after the last fault", id, e.name, state, completionTimeout)
				break
			}
		}
	}
}

// checkRuns compares the runs of the workers with the responses to the callers.
func (c *callers) checkRuns() {
	runs := c.d.runLog.Runs()
	byTask := map[string][]emulator.Run{}
	executed := map[string]bool{}
	for _, run := range runs {
		byTask[run.Task] = append(byTask[run.Task], run)
		id, _, _ := strings.Cut(run.Task, ".")
		executed[id] = true
	}
	for id := range executed {
		if job := c.jobs[id]; job == nil {
			c.reportViolation("%s was run but never submitted", id)
		} else if !job.accepted && !job.outcomeUnknown {
			c.reportViolation("%s was run but every attempt to submit it was rejected", id)
		}
	}
	for id, job := range c.jobs {
		if job.completed && !executed[id] {
			c.reportViolation("%s was reported as completed but never run", id)
		}
	}
	for task, list := range byTask {
		c.checkTask(task, list)
	}
}

// checkTask requires that no run of a task started while another one was in progress, or after the task's completion was acknowledged.
func (c *callers) checkTask(task string, runs []emulator.Run) {
	for i, earlier := range runs {
		for _, later := range runs[i+1:] {
			if earlier.EndedAt.IsZero() || earlier.EndedAt.After(later.StartedAt) {
				c.reportViolation("%s has two runs at the same time: %+v, %+v", task, earlier, later)
			}
			if earlier.End == "done" && earlier.Acknowledged {
				c.reportViolation("%s was started again after its completion was acknowledged: %+v, %+v", task, earlier, later)
			}
		}
	}
}
