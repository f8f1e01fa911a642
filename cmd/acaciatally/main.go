// Command acaciatally runs an entry of a deployment and executes operators' statements.
package main

import (
	"os"

	"github.com/acaciatally/acaciatally/console"
)

func main() {
	os.Exit(console.Run(console.Config{
		Arguments: os.Args[1:], Input: os.Stdin, Output: os.Stdout, Errors: os.Stderr, Getenv: os.Getenv,
	}))
}
