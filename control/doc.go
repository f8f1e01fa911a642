// Package control implements the control loop of the pools. Each pass runs the steps observe, assess, plan, approve, apply and record.
package control
