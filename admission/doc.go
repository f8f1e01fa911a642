// Package admission refuses requests that cannot be served, before they take up resources, with the time after which a retry may succeed.
package admission
