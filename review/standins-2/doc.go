// Command standins-2 plays the cases of the second review: it emulates the platform on loopback addresses, starts the entries as processes
// with the command of the deploy file, disturbs them, and checks one rule.
package main
