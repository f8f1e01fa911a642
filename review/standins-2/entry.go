package main

import (
	"context"
	"errors"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// deployFile says how an entry is started.
const deployFile = "deploy/system.toml"

var runPattern = regexp.MustCompile(`(?m)^run = "([^"]+)"$`)

// entryCommand returns the command of the deploy file, split at spaces.
func entryCommand() (command []string, err error) {
	content, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	match := runPattern.FindStringSubmatch(string(content))
	if match == nil {
		return nil, errors.New("the deploy file has no run command")
	}
	return strings.Fields(match[1]), nil
}

// entry is one entry with its current process.
type entry struct {
	name, ip, settings, log string
	record                  *recorder

	mutex   sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// start starts the process with the command of the deploy file; it ends with this program.
func (e *entry) start() (err error) {
	command, err := entryCommand()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(e.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.CommandContext(context.Background(), command[0], command[1:]...)
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "ACACIATALLY_CONFIG=" + e.settings}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err = process.Start(); err != nil {
		return err
	}
	e.record.printf("entry %s started", e.name)
	exited := make(chan struct{})
	go func() {
		defer close(exited)
		_, _ = process.Wait(), log.Close() // a killed process returns an error as well
	}()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.process, e.exited = process, exited
	return nil
}

// signal sends a signal to the process.
func (e *entry) signal(signal syscall.Signal) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.record.printf("entry %s gets %s", e.name, signal)
	_ = e.process.Process.Signal(signal) // fails if the process has already ended
}

// kill kills the process and waits until it has ended.
func (e *entry) kill() {
	e.signal(syscall.SIGKILL)
	e.mutex.Lock()
	exited := e.exited
	e.mutex.Unlock()
	<-exited
}

// killAndRestart kills the process and starts it again after the delay, as the platform does.
func (e *entry) killAndRestart(delay time.Duration) error {
	e.kill()
	time.Sleep(delay)
	return e.start()
}

// end ends the process at the end of a case.
func (e *entry) end() {
	e.mutex.Lock()
	started := e.process != nil
	e.mutex.Unlock()
	if started {
		e.kill()
	}
}
