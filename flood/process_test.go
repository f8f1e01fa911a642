package flood

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally/platform/emulator"
	"github.com/acaciatally/acaciatally/standin"
)

// machine holds the limits of a machine that the settings of a process state. They are also the bounds of the tests.
type machine struct {
	memoryMB    int
	descriptors int
}

// Limits of the machine of most tests.
const (
	memoryMB    = 128
	descriptors = 500
)

var smallMachine = machine{memoryMB: memoryMB, descriptors: descriptors}

// The keys of the two accounts, where the configuration has accounts.
const (
	ordinaryKey = "ordinary-key"
	crowdKey    = "crowd-key"
)

// process is a process of the program under test.
type process struct {
	t       *testing.T
	command *exec.Cmd
	output  bytes.Buffer
	ended   chan struct{}
	callers string // address for callers
	peers   string // address for other entries; empty if there is none
	ready   string // address of the readiness check, or the operators' address
	metrics string // address of the metrics, or the operators' address
	ip      string
	machine machine
	// arguments are those with which the process was started.
	arguments []string
}

// loopback returns a loopback address that no other run of this package uses at the same time.
func loopback() string { return fmt.Sprintf("127.%d.%d.1", 192+os.Getpid()/250%50, 1+os.Getpid()%250) }

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", loopback()+":0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	return listener.Addr().String()
}

func (p *process) start(arguments ...string) {
	p.t.Helper()
	p.arguments = arguments
	p.command = exec.CommandContext(context.Background(), program, arguments...)
	p.command.Stdout, p.command.Stderr = &p.output, &p.output
	require.NoError(p.t, p.command.Start())
	p.ended = make(chan struct{})
	go func() {
		defer close(p.ended)
		_ = p.command.Wait() // a killed process also returns an error
	}()
	p.t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.ended
		if p.t.Failed() {
			p.t.Logf("end of the output of the process:\n%s", p.output.Bytes()[max(0, p.output.Len()-4000):])
		}
	})
}

// configuration returns the operators' configuration, without accounts.
func configuration() map[string]any {
	route := func(name string) map[string]any {
		return map[string]any{"name": name, "hostname": "a.example", "prefix": "/" + name + "/", "service": "intake", "attempts": 3}
	}
	return map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("quotes"), route("plans"), route("slots")},
		"services": []map[string]any{{"name": "intake"}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBody, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// restart kills the process and starts it again with the same settings.
func (p *process) restart() {
	p.t.Helper()
	require.NoError(p.t, p.command.Process.Kill())
	<-p.ended
	p.start(p.arguments...)
}

// startAttend starts an entry on the users' platform, whose store is emulated in the test process.
func startAttend(t *testing.T) *process {
	t.Helper()
	store := emulator.NewStore()
	store.Put("op", "config", configuration())
	return startAttendOn(t, store, emulator.NewFaults(), smallMachine)
}

// startAttendOn starts an entry on a store that holds a configuration.
func startAttendOn(t *testing.T, store *emulator.Store, faults *emulator.Faults, m machine) *process {
	t.Helper()
	server := httptest.NewServer(store.Handler(faults))
	t.Cleanup(server.Close)
	p := &process{t: t, callers: freeAddress(t), ready: freeAddress(t), metrics: freeAddress(t), ip: loopback(), machine: m}
	_, port, _ := strings.Cut(p.callers, ":")
	content, err := json.Marshal(map[string]any{
		"nodeName": "entry-" + port, "ip": p.ip, "zone": "hall-a", "bootstrap": true, "heartbeatMs": 1500, "commands": "invoke",
		"listenAddrs": map[string]string{"frontend": p.callers, "ready": p.ready},
		"limits":      map[string]any{"cpuShare": 1, "cores": 1, "memoryMb": m.memoryMB, "linkMbps": 1000, "maxFds": m.descriptors},
		"bounds":      map[string]any{"gracePeriodS": 6},
		"platform":    map[string]any{"address": server.Listener.Addr().String(), "form": "table", "writesPerS": 800, "readsPerS": 2000},
	})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "entry.json")
	require.NoError(t, os.WriteFile(path, content, 0o600))
	_, metricsPort, _ := strings.Cut(p.metrics, ":")
	p.start("attend", "-settings", path, "-metrics", metricsPort)
	p.awaitReady("/-/ready")
	return p
}

// startServe starts an entry with the traffic path, with an emulated platform and one worker in the test process.
func startServe(t *testing.T) *process {
	t.Helper()
	platform := httptest.NewServer(standin.NewServer(standin.NewTable()))
	t.Cleanup(platform.Close)
	worker := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(writer, "done")
	}))
	t.Cleanup(worker.Close)
	operators := freeAddress(t)
	p := &process{t: t, callers: freeAddress(t), peers: freeAddress(t), ready: operators, metrics: operators, ip: loopback(), machine: smallMachine}
	path := filepath.Join(t.TempDir(), "settings.yaml")
	content := fmt.Sprintf("Deployment: test\nDataCentres: [hall-a]\nPlatform: {Address: %q}\nPeers: {Key: 0123456789abcdef}\n"+
		"Traffic: {MaxBody: %dKiB}\nTeams: [{Name: shops, Quota: 4}]\n"+
		"Entries: [{ID: e, DataCentre: hall-a, CallerAddress: %q, OperatorAddress: %q, PeerAddress: %q, Memory: %dMiB, Descriptors: %d}]\n"+
		"Pools: [{Name: coating, Instances: [{ID: w, DataCentre: hall-a, Rack: r, Address: %q}]}]\n",
		platform.Listener.Addr(), maxBody>>10, p.callers, operators, p.peers, memoryMB, descriptors, worker.Listener.Addr())
	require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
	p.start("serve", "-settings", path, "-entry", "e")
	p.awaitReady("/readyz")
	return p
}

func (p *process) awaitReady(path string) {
	p.t.Helper()
	require.Eventually(p.t, func() bool {
		status, _ := p.request(http.MethodGet, p.ready, path, "")
		return status == http.StatusOK
	}, time.Minute, 20*time.Millisecond)
}

// request sends one request on a connection of its own. The status is 0 without a whole response. The time limit only ends a test that hangs.
func (p *process) request(method, address, path, body string) (status int, content string) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	require.NoError(p.t, err)
	request.Host = "a.example"
	request.Header.Set("Acaciatally-Deadline-Ms", "30000")
	request.Header.Set("Acaciatally-Idempotent", "true")
	request.Header.Set("Acaciatally-Team", "shops") // not the team of the crowd, whose finished requests may exceed its quota
	request.Header.Set(emulator.KeyHeader, ordinaryKey)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(read)
}

// usage is the largest use of memory and descriptors of a process so far.
type usage struct {
	resident    int64 // peak of the resident memory, in bytes
	unread      int64 // bytes received on its sockets and not read, in bytes
	unsent      int64 // bytes of responses that its clients have not taken, in bytes
	total       int64 // resident memory and unread bytes at the same moment, in bytes
	descriptors int
}

// watch samples the use of the process until stop is called. It returns the largest of each.
func (p *process) watch() (stop func() usage) {
	ctx, cancel := context.WithCancel(context.Background())
	var largest usage
	var watching sync.WaitGroup
	watching.Go(func() {
		for ctx.Err() == nil {
			unread, unsent := p.queuedBytes()
			resident := p.statusBytes("VmRSS:")
			largest.unread = max(largest.unread, unread)
			largest.unsent = max(largest.unsent, unsent)
			largest.total = max(largest.total, resident+unread)
			largest.resident = max(largest.resident, p.statusBytes("VmHWM:"))
			if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.command.Process.Pid)); err == nil {
				largest.descriptors = max(largest.descriptors, len(open))
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
	return func() usage {
		cancel()
		watching.Wait()
		return largest
	}
}

// statusBytes returns a value of /proc/PID/status in bytes, or 0 if the process has ended.
func (p *process) statusBytes(name string) int64 {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(content), name)
	fields := strings.Fields(rest)
	if !found || len(fields) == 0 {
		return 0
	}
	kilobytes, _ := strconv.ParseInt(fields[0], 10, 64)
	return kilobytes << 10
}

// queuedBytes returns what the system holds for connections to the process's addresses: bytes that the process has not read, and bytes that its
// clients have not taken.
func (p *process) queuedBytes() (unread, unsent int64) {
	content, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, 0
	}
	local := map[string]bool{hexAddress(p.callers): true, hexAddress(p.ready): true, hexAddress(p.metrics): true}
	if p.peers != "" {
		local[hexAddress(p.peers)] = true
	}
	for line := range strings.Lines(string(content)) {
		fields := strings.Fields(line)
		if len(fields) < 5 || !local[fields[1]] || fields[3] == "0A" { // 0A is a listener, whose queue counts connections
			continue
		}
		sendQueue, receiveQueue, _ := strings.Cut(fields[4], ":")
		received, _ := strconv.ParseInt(receiveQueue, 16, 64)
		sent, _ := strconv.ParseInt(sendQueue, 16, 64)
		unread, unsent = unread+received, unsent+sent
	}
	return unread, unsent
}

// hexAddress returns an IPv4 address and port as /proc/net/tcp prints it on a little-endian machine.
func hexAddress(address string) string {
	host, port, _ := net.SplitHostPort(address)
	ip := net.ParseIP(host).To4()
	number, _ := strconv.Atoi(port)
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
}

// requireAlive requires that the process has not ended.
func (p *process) requireAlive() {
	p.t.Helper()
	select {
	case <-p.ended:
		p.t.Fatal("the process has ended")
	default:
	}
	if err := p.command.Process.Signal(syscall.Signal(0)); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.t.Fatal(err)
	}
}

// requireBounded requires that the process lives and has stayed within the limits of its settings.
func requireBounded(t *testing.T, p *process, used usage) {
	t.Helper()
	t.Logf("resident %d KiB, unread %d KiB, unsent %d KiB, descriptors %d", used.resident>>10, used.unread>>10, used.unsent>>10, used.descriptors)
	p.requireAlive()
	limit := int64(p.machine.memoryMB) << 20
	assert.LessOrEqual(t, used.resident, limit, "resident memory exceeds the memory limit")
	assert.LessOrEqual(t, used.total, limit, "resident memory and unread bytes exceed the memory limit")
	assert.LessOrEqual(t, used.descriptors, p.machine.descriptors, "descriptors")
}
