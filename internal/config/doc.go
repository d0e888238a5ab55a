// Package config reads the two kinds of files that operators write.
//
// Host settings (Settings) describe one entry host: its name, its addresses
// and its limits towards callers. The service configuration (Config) states
// what the operators want: the services, where their cells are, and how their
// backend servers may be used. It is written as a base for all sites and an
// overlay per site; package merge combines them.
//
// Both are JSON with comments. Every problem of a file is reported with its
// line, the path of the field, and what is allowed there.
//
// # Usage
//
//	s, err := config.LoadSettings("host.jsonc")
//
//	doc, err := config.Load("base.jsonc")
//	cfg, probs := doc.Config()
//	if err := probs.Err(); err != nil { ... }
//	for _, svc := range cfg.Services() { ... }
//
// Encode and Decode convert a Config to and from its canonical JSON, in which
// every default is written out, so that equal configurations have equal bytes.
package config
