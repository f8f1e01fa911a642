// Package lifecycle plans the next step of an instance that is out of service: drain, stop, reboot, check, serve, repair, remove.
package lifecycle
