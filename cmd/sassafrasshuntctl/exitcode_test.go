package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
)

// exitcode implements the script command "exitcode CODE COMMAND...", which runs a
// command and checks its exit code.
func exitcode() {
	want, err := strconv.Atoi(os.Args[1])
	if err != nil {
		panic(err)
	}
	command := exec.Command(os.Args[2], os.Args[3:]...)
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	got := 0
	var exit *exec.ExitError
	if err := command.Run(); errors.As(err, &exit) {
		got = exit.ExitCode()
	}
	if got != want {
		fmt.Fprintf(os.Stderr, "exit code %d, want %d\n", got, want)
		os.Exit(1)
	}
}
