// Package peerpb contains the messages between entry hosts and their gRPC
// service, generated from peer.proto.
package peerpb

//go:generate sh generate.sh
