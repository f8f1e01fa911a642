package console

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
)

// longestLine bounds the memory for one line of a log.
const longestLine = 1 << 20

// logLine is one line of a process's log; the fields are those of the logbook.
type logLine struct {
	time string
	text string
}

// history prints the lines of several processes' logs that name a job, worker or instance, in order of time.
func history(config Config, arguments []string) (err error) {
	set := flags(config, "history [flags] ID [FILE...]",
		"  acaciatally history 5c0e7a21d94b36f8 entry-1.log entry-2.log\n  cat *.log | acaciatally history i-7f3a91c2\n")
	event := set.String("event", "", "only lines of this event")
	if err = parse(set, arguments); err != nil {
		return err
	}
	if set.NArg() == 0 {
		return &usageError{message: "history needs the id of a job, worker or instance"}
	}
	id, files := set.Arg(0), set.Args()[1:]
	var lines []logLine
	if len(files) == 0 {
		if lines, err = selectLines(config.Input, id, *event); err != nil {
			return err
		}
	}
	for _, name := range files {
		found, err := selectFile(name, id, *event)
		if err != nil {
			return err
		}
		lines = append(lines, found...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, line := range lines {
		if _, err = fmt.Fprintln(config.Output, line.text); err != nil {
			return err
		}
	}
	return nil
}

func selectFile(name, id, event string) (lines []logLine, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // it was only read
	return selectLines(file, id, event)
}

// selectLines returns the lines that name the id; what stands before a line's JSON, such as a collector's own time, is left out.
func selectLines(input io.Reader, id, event string) (lines []logLine, err error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, longestLine)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 || !strings.Contains(scanner.Text(), id) {
			continue
		}
		var fields map[string]any
		text := scanner.Text()[start:]
		if json.Unmarshal([]byte(text), &fields) != nil || !names(fields, id) {
			continue
		}
		if event == "" || fields["Event"] == event {
			moment, _ := fields["Time"].(string) // a line without a time comes first
			lines = append(lines, logLine{time: moment, text: text})
		}
	}
	return lines, scanner.Err()
}

// names reports whether a field of the line is the id, or a task of the job.
func names(fields map[string]any, id string) bool {
	for _, name := range []string{"Job", "Worker", "Instance", "Queue", "Task", "Process"} {
		if fields[name] == id {
			return true
		}
	}
	return false
}
