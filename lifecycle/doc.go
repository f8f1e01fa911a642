// Package lifecycle plans the next step of an instance that is out of service: drain, move, stop, reboot, check, serve, repair or remove.
package lifecycle
