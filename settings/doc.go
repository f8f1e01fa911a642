// Package settings reads a deployment's YAML settings.
package settings
