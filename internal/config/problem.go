package config

import (
	"fmt"
	"strings"
)

// Origin is the file and line of a value. Defaults have the zero Origin.
type Origin struct {
	File string `json:"file"`
	Line int    `json:"line"`
}

// String returns "file:line", or "default" for the zero Origin.
func (o Origin) String() string {
	if o == (Origin{}) {
		return "default"
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// Problem is one error or warning about a file.
type Problem struct {
	Origin
	Field    string // path of the field, such as services.ledger.path; empty for the whole file
	Message  string
	Severity Severity
}

// Error returns "file:line: field: message".
func (p Problem) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: ", p.Origin)
	if p.Field != "" {
		fmt.Fprintf(&b, "%s: ", p.Field)
	}
	if p.Severity == SeverityWarning {
		b.WriteString("warning: ")
	}
	b.WriteString(p.Message)
	return b.String()
}

// Problems lists problems in the order in which they were found.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.Error()
	}
	return strings.Join(lines, "\n")
}

// Err returns the problems of severity error, or nil if there are none.
func (ps Problems) Err() error {
	if errs := ps.withSeverity(SeverityError); len(errs) > 0 {
		return errs
	}
	return nil
}

// Warnings returns the problems of severity warning.
func (ps Problems) Warnings() Problems { return ps.withSeverity(SeverityWarning) }

func (ps Problems) withSeverity(s Severity) (sel Problems) {
	for _, p := range ps {
		if p.Severity == s {
			sel = append(sel, p)
		}
	}
	return sel
}
