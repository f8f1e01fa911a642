// Package hosting is the HTTP client of the platform's services, and defines their paths and JSON messages.
package hosting
