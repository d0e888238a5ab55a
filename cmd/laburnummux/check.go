package main

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/merge"
)

const usageCheck = `Check files without starting a host. A file contains host settings, the base of
the service configuration, or the overlay of a site. Its kind is detected from
its fields, unless --kind is given. If exactly one file is a base, every overlay
is also merged with it and the result is checked. The certificates, keys and
tokens that settings name are also loaded, unless --no-files is given.

Problems are printed one per line as "file:line: field: message". The exit
status is 1 if a problem isn't a warning.

  laburnummux check host.jsonc
  laburnummux check base.jsonc north-1.jsonc north-2.jsonc`

var errInvalidFiles = errors.New("check: the files are invalid")

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "check settings and service configuration",
		ArgsUsage:   "FILE...",
		Description: usageCheck,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "kind", Usage: "kind of all files: settings, base or overlay"},
			&cli.BoolFlag{Name: "no-files", Usage: "don't load the certificates, keys and tokens that settings name"},
		},
		Action: runCheck,
	}
}

// input is a file to check.
type input struct {
	kind config.FileKind
	doc  config.Document
}

func runCheck(_ context.Context, cmd *cli.Command) (err error) {
	if cmd.Args().Len() == 0 {
		return errors.New("check: no file given")
	}
	var probs config.Problems
	var inputs []input
	for _, file := range cmd.Args().Slice() {
		doc, more, err := config.Load(file)
		if err != nil {
			return fmt.Errorf("check: %w", err)
		}
		probs = append(probs, more...)
		if doc.Root().Kind() == config.Null && more.Err() != nil {
			continue // not JSON, which the problems state
		}
		kind, err := fileKind(doc, cmd.String("kind"))
		if err != nil {
			return err
		}
		inputs = append(inputs, input{kind, doc})
	}
	probs = append(probs, checkInputs(inputs, !cmd.Bool("no-files"))...)
	return printProblems(cmd, probs)
}

func fileKind(doc config.Document, flag string) (config.FileKind, error) {
	if flag == "" {
		return doc.FileKind(), nil
	}
	for _, k := range config.FileKinds() {
		if k.String() == flag {
			return k, nil
		}
	}
	return 0, fmt.Errorf("check: invalid --kind %q; settings, base or overlay is required", flag)
}

// checkInputs checks every file and the merge of each overlay with the base.
func checkInputs(inputs []input, files bool) (probs config.Problems) {
	var bases []config.Document
	for _, in := range inputs {
		var more config.Problems
		switch in.kind {
		case config.FileSettings:
			var s config.Settings
			if s, more = in.doc.Settings(); files && more.Err() == nil {
				more = append(more, checkFiles(in.doc, s)...)
			}
		case config.FileBase:
			_, more = in.doc.Config()
			bases = append(bases, in.doc)
		case config.FileOverlay:
			more = in.doc.CheckOverlay()
		}
		probs = append(probs, more...)
	}
	if len(bases) != 1 {
		return probs
	}
	for _, in := range inputs {
		if in.kind != config.FileOverlay {
			continue
		}
		_, more := merge.Merge(bases[0], in.doc)
		for _, p := range more {
			if !slices.Contains(probs, p) { // a problem of the base is reported by every merge
				probs = append(probs, p)
			}
		}
	}
	return probs
}

// printProblems prints the problems and returns an error if one of them isn't a
// warning.
func printProblems(cmd *cli.Command, probs config.Problems) error {
	if len(probs) > 0 {
		fmt.Fprintln(cmd.Root().ErrWriter, probs.Error())
	}
	if probs.Err() != nil {
		return errInvalidFiles
	}
	return nil
}
