package standin

import (
	"context"
	"time"

	"github.com/acaciatally/acaciatally"
)

type operationKind int

const (
	drainOperation operationKind = iota
	rebootOperation
	undrainOperation
)

type operation struct {
	kind     operationKind
	instance acaciatally.InstanceID
	ends     time.Time // of a reboot
	fails    bool
	state    acaciatally.OperationState
}

// Drain makes the machine refuse new requests; the operation is done when no request is in progress.
func (m *Machines) Drain(_ context.Context, id string, instance acaciatally.InstanceID) (err error) {
	return m.begin(id, &operation{kind: drainOperation, instance: instance, state: acaciatally.OperationRunning})
}

// Reboot restarts a machine, dead ones included; it takes the reboot time and may fail.
func (m *Machines) Reboot(_ context.Context, id string, instance acaciatally.InstanceID) (err error) {
	return m.begin(id, &operation{
		kind: rebootOperation, instance: instance, state: acaciatally.OperationRunning,
		ends: time.Now().Add(m.config.RebootTime),
	})
}

// Undrain makes a drained machine accept requests again.
func (m *Machines) Undrain(_ context.Context, id string, instance acaciatally.InstanceID) (err error) {
	return m.begin(id, &operation{kind: undrainOperation, instance: instance, state: acaciatally.OperationDone})
}

// Operation returns the state of an operation.
func (m *Machines) Operation(_ context.Context, id string) (state acaciatally.OperationState, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settle()
	if known, found := m.operations[id]; found {
		return known.state, nil
	}
	return acaciatally.OperationAbsent, nil
}

func (m *Machines) begin(id string, next *operation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, found := m.operations[id]; found {
		return nil
	}
	m.operations[id] = next
	target, found := m.machines[next.instance]
	if !found {
		next.state = acaciatally.OperationFailed
		return nil
	}
	m.apply(target, next)
	m.settle()
	return nil
}

func (m *Machines) apply(target *machine, next *operation) {
	now := target.now()
	switch next.kind {
	case drainOperation:
		if !now.up {
			next.state = acaciatally.OperationFailed
			return
		}
		target.see(sighting{at: time.Now(), up: true, leaving: true})
		if target.config.Host != nil {
			target.config.Host.Drain()
		}
	case rebootOperation:
		next.fails = m.random.Float64() < m.config.RebootFails
		target.see(sighting{at: time.Now()})
	case undrainOperation:
		target.see(sighting{at: time.Now(), up: now.up})
		if target.config.Host != nil {
			target.config.Host.Undrain()
		}
	}
}

// settle ends the operations whose time has come.
func (m *Machines) settle() {
	for _, running := range m.operations {
		if running.state != acaciatally.OperationRunning {
			continue
		}
		target := m.machines[running.instance]
		if running.kind == drainOperation {
			settleDrain(target, running)
			continue
		}
		settleReboot(target, running)
	}
}

func settleDrain(target *machine, running *operation) {
	if !target.now().up {
		running.state = acaciatally.OperationFailed
		return
	}
	if target.config.Host == nil || target.config.Host.Busy() == 0 {
		running.state = acaciatally.OperationDone
	}
}

func settleReboot(target *machine, running *operation) {
	if time.Now().Before(running.ends) {
		return
	}
	if running.fails {
		running.state = acaciatally.OperationFailed
		return
	}
	running.state = acaciatally.OperationDone
	target.see(sighting{at: running.ends, up: true})
	if target.config.Host != nil {
		target.config.Host.Undrain()
	}
}
