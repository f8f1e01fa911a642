// Package hosting reaches the platform's services over HTTP with JSON bodies.
package hosting
