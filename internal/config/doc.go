// Package config parses, checks and encodes host settings and service
// configurations.
//
// Host settings (Settings) describe one entry host: its name, its addresses
// and its limits for callers. The service configuration (Config) describes the
// services, the data centres of their cells, and the limits of their backend
// servers. It is written as a base for all sites and an overlay per site;
// package merge combines them. A site is the laburnummux installation of one
// data centre and has the name of the data centre.
//
// Both are JSON with comments. Every problem of a file is reported with its
// line, the path of the field, and the allowed values.
//
// # Usage
//
//	s, err := config.LoadSettings("host.jsonc")
//
//	doc, probs, err := config.Load("base.jsonc")
//	cfg, more := doc.Config()
//	if err := append(probs, more...).Err(); err != nil { ... }
//	for _, svc := range cfg.Services() { ... }
//
// Encode and Decode convert a Config to and from its canonical JSON, in which
// every default is written out, so that equal configurations have equal bytes.
package config
