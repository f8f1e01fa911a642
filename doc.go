// Package acaciatally holds the types shared by all packages and the interfaces to everything outside a process.
package acaciatally
