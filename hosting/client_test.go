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

func clientOf(t *testing.T, handler http.Handler) *hosting.Client {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	client := hosting.New(hosting.Config{Address: address, Timeout: 5 * time.Second})
	t.Cleanup(client.Close)
	return client
}

func simulated() (*standin.Faults, http.Handler) {
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

var write = acaciatally.Transaction{ID: "1", Writes: []acaciatally.Write{{Key: "Row", Value: []byte("value")}}}

// TestServices guards against a service whose messages do not survive the way through HTTP.
func TestServices(t *testing.T) {
	_, handler := simulated()
	client, ctx := clientOf(t, handler), t.Context()
	version, err := client.Commit(ctx, write)
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
	require.Positive(t, client.Budget().Writes.Get())
	require.Positive(t, client.Budget().BytesReceived.Get())
}

// TestCommitErrors guards against ErrUnavailable for a commit that may have taken effect (P4, P9).
func TestCommitErrors(t *testing.T) {
	hijack := func(w http.ResponseWriter) {
		connection, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = connection.Close()
		}
	}
	tests := map[string]struct {
		handler http.HandlerFunc
		want    error
		not     error
	}{
		"says it had no effect": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = io.WriteString(w, `{"Code":"Unavailable"}`)
			},
			want: acaciatally.ErrUnavailable, not: acaciatally.ErrUnknownCommit,
		},
		"503 of something in between": {
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) },
			want:    acaciatally.ErrUnknownCommit, not: acaciatally.ErrUnavailable,
		},
		"connection broken": {
			handler: func(w http.ResponseWriter, _ *http.Request) { hijack(w) },
			want:    acaciatally.ErrUnknownCommit, not: acaciatally.ErrUnavailable,
		},
		"answer cut off": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "100")
				_, _ = io.WriteString(w, `{"Version":1`)
			},
			want: acaciatally.ErrUnknownCommit, not: acaciatally.ErrUnavailable,
		},
		"answer without a version": {
			handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{}`) },
			want:    acaciatally.ErrUnknownCommit, not: acaciatally.ErrUnavailable,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := clientOf(t, test.handler).Commit(t.Context(), write)
			require.ErrorIs(t, err, test.want)
			require.NotErrorIs(t, err, test.not)
		})
	}
}

// TestNotSent guards against an unknown outcome for a call that never left the process.
func TestNotSent(t *testing.T) {
	refuse := func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	client := hosting.New(hosting.Config{Address: netip.MustParseAddrPort("127.0.0.1:1"), Dial: refuse})
	_, err := client.Commit(t.Context(), write)
	require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	require.NotErrorIs(t, err, acaciatally.ErrUnknownCommit)
}

// TestReadLost guards against a read that reports the unknown outcome of a commit.
func TestReadLost(t *testing.T) {
	client := clientOf(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }))
	_, err := client.Read(t.Context(), "Row")
	require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	require.NotErrorIs(t, err, acaciatally.ErrUnknownCommit)
}

// TestConcurrency guards against a client that floods a slow platform.
func TestConcurrency(t *testing.T) {
	entered, leave := make(chan struct{}, 8), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		entered <- struct{}{}
		<-leave
		_, _ = io.WriteString(w, `{}`)
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	address := netip.MustParseAddrPort(server.Listener.Addr().String())
	client := hosting.New(hosting.Config{Address: address, Concurrency: 1})
	defer client.Close()
	done := make(chan error, 2)
	go func() { _, err := client.Read(t.Context(), "Row"); done <- err }()
	<-entered
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err := client.Read(ctx, "Row")
	require.ErrorIs(t, err, acaciatally.ErrUnavailable)
	require.Empty(t, entered)
	close(leave)
	require.NoError(t, <-done)
}

// FuzzDecode guards against an answer that makes the decoder panic or accept more items than its bound.
func FuzzDecode(f *testing.F) {
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
