package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/platform"
)

// Guards against a host that ends because it receives SIGHUP, which requests a
// reload, while it starts.
func TestReloadAtStart(t *testing.T) {
	is := is.New(t)
	settingsFile := filepath.Join(t.TempDir(), "node.conf")
	is.NoErr(syscall.Mkfifo(settingsFile, 0o600)) // the host blocks while it reads the settings
	cmd := exec.Command(os.Args[0], "front")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+settingsFile)
	is.NoErr(cmd.Start())
	var w *os.File
	for end := time.Now().Add(stateTimeout); w == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the host did not open the settings file")
		}
		w, _ = os.OpenFile(settingsFile, os.O_WRONLY|syscall.O_NONBLOCK, 0) // fails until the host has opened it
	}
	is.NoErr(cmd.Process.Signal(syscall.SIGHUP))
	_, err := w.WriteString("node=without-the-rest\n")
	is.NoErr(err)
	is.NoErr(w.Close())
	err = cmd.Wait()
	exit, ok := err.(*exec.ExitError)
	is.True(ok)
	is.Equal(exit.ExitCode(), 1) // it read the settings and rejected them
}
