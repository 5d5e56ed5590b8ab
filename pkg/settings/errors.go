package settings

import (
	"fmt"
	"strings"
)

// FileError reports a settings file that cannot be read.
type FileError struct {
	Path string
	Err  error
}

func (e *FileError) Error() string {
	return "settings file " + e.Path + ": " + e.Err.Error()
}

func (e *FileError) Unwrap() error {
	return e.Err
}

// Problem is one error in a settings file.
type Problem struct {
	// Line is the line number, from 1; 0 when there is none, as for a missing value.
	Line   int
	Key    string
	Reason string
}

// ValidationError lists all problems of a settings file.
type ValidationError struct {
	Path     string
	Problems []Problem
}

func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s:%d: %s: %s", e.Path, p.Line, p.Key, p.Reason))
	}
	return strings.Join(lines, "\n")
}
