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
	endsAt   time.Time // when a reboot ends; unset for other kinds
	fails    bool      // whether a reboot fails when it ends
	state    acaciatally.OperationState
}

// Drain makes the machine refuse new requests; the operation is done once no request is in progress. A repeated ID has no effect.
func (m *Machines) Drain(_ context.Context, id string, instance acaciatally.InstanceID) (err error) {
	return m.startOperation(id, &operation{kind: drainOperation, instance: instance, state: acaciatally.OperationRunning})
}

// Reboot restarts a machine, also a failed one; it takes RebootTime and may fail. A repeated ID has no effect.
func (m *Machines) Reboot(_ context.Context, id string, instance acaciatally.InstanceID) (err error) {
	return m.startOperation(id, &operation{
		kind: rebootOperation, instance: instance, state: acaciatally.OperationRunning,
		endsAt: time.Now().Add(m.config.RebootTime),
	})
}

// Undrain makes a drained machine accept requests again; it is done at once. A repeated ID has no effect.
func (m *Machines) Undrain(_ context.Context, id string, instance acaciatally.InstanceID) (err error) {
	return m.startOperation(id, &operation{kind: undrainOperation, instance: instance, state: acaciatally.OperationDone})
}

// Operation returns the state of an operation, or OperationAbsent if the ID is unknown.
func (m *Machines) Operation(_ context.Context, id string) (state acaciatally.OperationState, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.completeOperations()
	if known, found := m.operations[id]; found {
		return known.state, nil
	}
	return acaciatally.OperationAbsent, nil
}

func (m *Machines) startOperation(id string, op *operation) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, found := m.operations[id]; found {
		return nil
	}
	m.operations[id] = op
	target, found := m.machines[op.instance]
	if !found {
		op.state = acaciatally.OperationFailed
		return nil
	}
	m.execute(target, op)
	m.completeOperations()
	return nil
}

func (m *Machines) execute(target *machine, op *operation) {
	current := target.current()
	switch op.kind {
	case drainOperation:
		if !current.up {
			op.state = acaciatally.OperationFailed
			return
		}
		target.addState(machineState{at: time.Now(), up: true, leaving: true})
		if target.config.Host != nil {
			target.config.Host.Drain()
		}
	case rebootOperation:
		op.fails = m.random.Float64() < m.config.RebootFailureRate
		target.addState(machineState{at: time.Now()})
	case undrainOperation:
		target.addState(machineState{at: time.Now(), up: current.up})
		if target.config.Host != nil {
			target.config.Host.Undrain()
		}
	}
}

// completeOperations updates the state of the running operations that have finished or failed by now.
func (m *Machines) completeOperations() {
	for _, op := range m.operations {
		if op.state != acaciatally.OperationRunning {
			continue
		}
		target := m.machines[op.instance]
		if op.kind == drainOperation {
			completeDrain(target, op)
			continue
		}
		completeReboot(target, op)
	}
}

func completeDrain(target *machine, op *operation) {
	if !target.current().up {
		op.state = acaciatally.OperationFailed
		return
	}
	if target.config.Host == nil || target.config.Host.Busy() == 0 {
		op.state = acaciatally.OperationDone
	}
}

func completeReboot(target *machine, op *operation) {
	if time.Now().Before(op.endsAt) {
		return
	}
	if op.fails {
		op.state = acaciatally.OperationFailed
		return
	}
	op.state = acaciatally.OperationDone
	target.addState(machineState{at: op.endsAt, up: true})
	if target.config.Host != nil {
		target.config.Host.Undrain()
	}
}
