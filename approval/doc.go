// Package approval commits planned changes to the change log. One transaction checks the availability budget, the version of the changed
// object and that the lease is still held.
package approval
