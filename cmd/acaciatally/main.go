// Command acaciatally runs an entry of the system and carries out operators' statements.
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
