// Package peerpb has the generated messages between entry hosts.
package peerpb

//go:generate sh generate.sh
