// Package entry assembles the request pipeline, the control loop and the servers of one entry process, and runs them.
package entry
