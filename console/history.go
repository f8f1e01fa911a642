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

// maxLineLength is the maximum length of a log line in bytes, which bounds the memory for a line; a longer line is an error.
const maxLineLength = 1 << 20

// logLine is one line of an entry's log in the JSON format of package eventlog; time is its field Time, by which lines are sorted.
type logLine struct {
	time string
	text string
}

// history prints the log lines of one or several processes that contain the id of a job, worker or instance, in order of time.
func history(config Config, arguments []string) (err error) {
	set := newFlagSet(config, "history [flags] ID [FILE...]",
		"  acaciatally history 5c0e7a21d94b36f8 entry-1.log entry-2.log\n  cat *.log | acaciatally history i-7f3a91c2\n")
	event := set.String("event", "", "only lines of this event")
	if err = parseFlags(set, arguments); err != nil {
		return err
	}
	if set.NArg() == 0 {
		return &usageError{message: "history needs the id of a job, worker or instance"}
	}
	id, files := set.Arg(0), set.Args()[1:]
	var lines []logLine
	if len(files) == 0 {
		if lines, err = filterLines(config.Input, id, *event); err != nil {
			return err
		}
	}
	for _, name := range files {
		fileLines, err := filterFile(name, id, *event)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.time, b.time) })
	for _, line := range lines {
		if _, err = fmt.Fprintln(config.Output, line.text); err != nil {
			return err
		}
	}
	return nil
}

func filterFile(name, id, event string) (lines []logLine, err error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }() // opened for reading only
	return filterLines(file, id, event)
}

// filterLines returns the lines that contain the id in an id field. Text before a line's JSON, such as the timestamp of a log
// collector, is removed.
func filterLines(input io.Reader, id, event string) (lines []logLine, err error) {
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineLength)
	for scanner.Scan() {
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 || !strings.Contains(scanner.Text(), id) {
			continue
		}
		var fields map[string]any
		text := scanner.Text()[start:]
		if json.Unmarshal([]byte(text), &fields) != nil || !mentions(fields, id) {
			continue
		}
		if event == "" || fields["Event"] == event {
			timestamp, _ := fields["Time"].(string) // lines without a time sort first
			lines = append(lines, logLine{time: timestamp, text: text})
		}
	}
	return lines, scanner.Err()
}

// mentions reports whether one of the line's id fields equals id. Lines about a task also carry the id of its job.
func mentions(fields map[string]any, id string) bool {
	for _, name := range []string{"Job", "Worker", "Instance", "Queue", "Task", "Process"} {
		if fields[name] == id {
			return true
		}
	}
	return false
}
