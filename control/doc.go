// Package control holds the steps of the control pipeline: observe, assess, plan, approve, apply, record.
package control
