// Package settings reads and checks the YAML settings file of a deployment.
package settings
