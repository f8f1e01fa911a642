package eventlog

import (
	"bufio"
	"io"
	"sync"
	"time"
)

const (
	// outputBufferBytes is the amount of buffered lines that is written at once.
	outputBufferBytes = 32 << 10
	// flushDelay bounds how long a line stays in the buffer; a process that is killed loses the lines of that time.
	flushDelay = 50 * time.Millisecond
)

// bufferedOutput writes lines in batches, because each write is a system call.
type bufferedOutput struct {
	output    io.Writer
	mutex     sync.Mutex
	buffer    *bufio.Writer
	scheduled bool // a flush is scheduled
}

func newBufferedOutput(output io.Writer) *bufferedOutput {
	return &bufferedOutput{output: output, buffer: bufio.NewWriterSize(output, outputBufferBytes)}
}

// Write adds a line to the buffer. What is written at once ends with a whole line.
func (o *bufferedOutput) Write(line []byte) (n int, err error) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if len(line) > o.buffer.Available() {
		_ = o.flush() // the lines that could not be written are lost
	}
	if !o.scheduled {
		o.scheduled = true
		time.AfterFunc(flushDelay, func() { _ = o.Flush() })
	}
	return o.buffer.Write(line)
}

// Flush writes the buffered lines.
func (o *bufferedOutput) Flush() error {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.scheduled = false
	return o.flush()
}

// flush writes the buffered lines. After a write that failed the buffer is emptied, since it would take no more lines.
func (o *bufferedOutput) flush() error {
	err := o.buffer.Flush()
	if err != nil {
		o.buffer.Reset(o.output)
	}
	return err
}
