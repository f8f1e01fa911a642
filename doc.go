// Package acaciatally defines the types shared by all packages and the interfaces to services outside the process.
package acaciatally
