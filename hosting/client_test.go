package hosting_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/acaciatally/acaciatally"
	"github.com/acaciatally/acaciatally/hosting"
	"github.com/acaciatally/acaciatally/standin"
)

func newClient(t *testing.T, handler http.Handler) *hosting.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	client := hosting.New(hosting.Config{Address: address, Timeout: 5 * time.Second})
	t.Cleanup(client.Close)
	return client
}

func newSimulatedPlatform() (*standin.Faults, http.Handler) {
	machines := standin.NewMachines(standin.MachinesConfig{})
	machines.Add(standin.MachineConfig{ID: "chamber-1"})
	tasks := standin.NewTasks(standin.TasksConfig{})
	tasks.AddWorker("chamber-1", acaciatally.Resources{Processors: 64, Memory: 1 << 38})
	faults := standin.NewFaults(standin.FaultsConfig{
		Table: standin.NewTable(), Objects: standin.NewObjects(), List: machines, Control: machines, Leases: tasks,
	})
	return faults, standin.NewPlatformServer(standin.ServerConfig{
		Table: faults, Objects: faults, List: faults, Control: faults, Leases: faults, Faults: faults, Machines: machines, Tasks: tasks,
	})
}

var testTransaction = acaciatally.Transaction{ID: "1", Writes: []acaciatally.Write{{Key: "Row", Value: []byte("value")}}}

// TestServices calls every service of the simulated platform over HTTP and checks that requests, responses and errors are transmitted.
func TestServices(t *testing.T) {
	_, handler := newSimulatedPlatform()
	client, ctx := newClient(t, handler), t.Context()
	version, err := client.Commit(ctx, testTransaction)
	require.NoError(t, err)
	rows, err := client.Scan(ctx, "R", "", 10)
	require.NoError(t, err)
	require.Equal(t, []acaciatally.Row{{Key: "Row", Value: []byte("value"), Version: version}}, rows)
	_, err = client.Commit(ctx, acaciatally.Transaction{Conditions: []acaciatally.Condition{{Key: "Row"}}})
	var conflict *acaciatally.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, []string{"Row"}, conflict.Keys)

	require.NoError(t, client.Put(ctx, "Snapshot/1", []byte("content")))
	content, err := client.Get(ctx, "Snapshot/1")
	require.NoError(t, err)
	require.Equal(t, "content", string(content))
	_, err = client.Get(ctx, "Snapshot/2")
	require.ErrorIs(t, err, acaciatally.ErrNoObject)
	names, err := client.List(ctx, "Snapshot/")
	require.NoError(t, err)
	require.Equal(t, []string{"Snapshot/1"}, names)

	instances, err := client.Instances(ctx)
	require.NoError(t, err)
	require.Len(t, instances, 1)
	require.NoError(t, client.Drain(ctx, "drain", "chamber-1"))
	state, err := client.Operation(ctx, "drain")
	require.NoError(t, err)
	require.Equal(t, acaciatally.OperationDone, state)

	lease := acaciatally.TaskLease{
		Task: "a", Attempt: 1, Worker: "chamber-1", Expires: time.Now().Add(time.Hour),
		Command: standin.TaskProfile{Work: time.Hour, Checkpoints: true}.Command(),
	}
	require.NoError(t, client.Start(ctx, lease))
	require.NoError(t, client.Renew(ctx, "a", 1, lease.Expires))
	require.NoError(t, client.Throttle(ctx, "a", 1, 0.5))
	require.NoError(t, client.Checkpoint(ctx, "a", 1))
	require.NoError(t, client.Stop(ctx, "a", 1))
	require.ErrorIs(t, client.Renew(ctx, "a", 1, lease.Expires), acaciatally.ErrLeaseExpired)
	lease.Task, lease.Worker = "b", "nowhere"
	require.ErrorIs(t, client.Start(ctx, lease), acaciatally.ErrRejected)
	usage, err := client.Usage(ctx, "chamber-1")
	require.NoError(t, err)
	require.Equal(t, acaciatally.TaskStopped, usage[0].State)
	require.Positive(t, client.Metrics().Writes.Get())
	require.Positive(t, client.Metrics().BytesReceived.Get())
}

// TestCommitErrors checks that a commit fails with ErrUnavailable only if it certainly had no effect, since callers take
// ErrUnavailable as proof that the commit was not applied.
func TestCommitErrors(t *testing.T) {
	closeConnection := func(w http.ResponseWriter) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}
	tests := map[string]struct {
		handler http.HandlerFunc
		want    error
		wantNot error
	}{
		"error code Unavailable": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, `{"Code":"Unavailable"}`)
			},
			want: acaciatally.ErrUnavailable, wantNot: acaciatally.ErrUnknownCommit,
		},
		"503 from an intermediary": {
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
			want:    acaciatally.ErrUnknownCommit, wantNot: acaciatally.ErrUnavailable,
		},
		"connection closed": {
			handler: func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) },
			want:    acaciatally.ErrUnknownCommit, wantNot: acaciatally.ErrUnavailable,
		},
		"response truncated": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, `{"Version":1`)
			},
			want: acaciatally.ErrUnknownCommit, wantNot: acaciatally.ErrUnavailable,
		},
		"response without a version": {
			handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{}`) },
			want:    acaciatally.ErrUnknownCommit, wantNot: acaciatally.ErrUnavailable,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := newClient(t, test.handler).Commit(t.Context(), testTransaction)
			require.ErrorIs(t, err, test.want)
			require.NotErrorIs(t, err, test.wantNot)
		})
	}
}

// TestCommitNotSent checks that a commit that could not be sent does not have an unknown outcome.
func TestCommitNotSent(t *testing.T) {
	refuseDial := func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	client := hosting.New(hosting.Config{Address: netip.MustParseAddrPort("127.0.0.1:1"), Dial: refuseDial})
	_, err := client.Commit(t.Context(), testTransaction)
	require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	require.NotErrorIs(t, err, acaciatally.ErrUnknownCommit)
}

// TestReadErrors checks that a failed read does not return ErrUnknownCommit.
func TestReadErrors(t *testing.T) {
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	_, err := client.Read(t.Context(), "Row")
	require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	require.NotErrorIs(t, err, acaciatally.ErrUnknownCommit)
}

// TestConcurrencyLimit checks that a client does not exceed its number of concurrent calls when the platform is slow.
func TestConcurrencyLimit(t *testing.T) {
	started, release := make(chan struct{}, 8), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		started <- struct{}{}
		<-release
		_, _ = io.WriteString(w, `{}`)
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	client := hosting.New(hosting.Config{Address: address, Concurrency: 1})
	defer client.Close()
	done := make(chan error, 2)
	go func() { _, err := client.Read(t.Context(), "Row"); done <- err }()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Read(ctx, "Row")
	require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	require.Empty(t, started)
	close(release)
	require.NoError(t, <-done)
}

// FuzzDecodeResponse checks that no response makes the decoder panic, and that every error wraps ErrUnknownCommit.
func FuzzDecodeResponse(f *testing.F) {
	f.Add([]byte(`{"Rows":[{"Key":"a","Value":"dg==","Version":1}]}`), 0)
	f.Add([]byte(`{"Usage":[{"Task":"a","ReportedAt":"2026-01-01T00:00:00Z"}]}`), 1)
	f.Add([]byte(`{"Instances":[{"ID":"a","Address":"127.0.0.1:1"}]}`), 2)
	f.Add([]byte(`{"Version":-1}`), 3)
	f.Fuzz(func(t *testing.T, content []byte, kind int) {
		responses := []any{&hosting.RowsResponse{}, &hosting.UsageResponse{}, &hosting.InstancesResponse{}, &hosting.CommitResponse{}}
		response := responses[uint(kind)%uint(len(responses))]
		if err := hosting.Decode(content, response); err != nil {
			require.ErrorIs(t, err, acaciatally.ErrUnknownCommit)
		}
	})
}
