// Package scripts holds the shell scripts that run and check whole deployments.
package scripts
