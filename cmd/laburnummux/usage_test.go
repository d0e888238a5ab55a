package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// samplePeriod is the time between two samples of a process's usage.
const samplePeriod = 20 * time.Millisecond

// usage is the highest use of a process's resources.
type usage struct {
	memory int64 // resident, bytes
	unread int64 // received by its sockets and not read, bytes
	total  int64 // resident and unread at the same time, bytes
	unsent int64 // written to its sockets and not acknowledged, bytes; the machine doesn't count them
	files  int
}

// check fails the test if the usage exceeds the memory or the descriptors of the
// machine, or if the process has ended.
func (u usage) check(t *testing.T, pid, memoryMB, files int) {
	t.Helper()
	is := is.NewRelaxed(t)
	t.Logf("%d MB resident, %d MB unread, %d MB in all, %d descriptors, %d MB unsent", u.memory/1e6, u.unread/1e6, u.total/1e6, u.files, u.unsent/1e6)
	is.True(isAlive(pid))
	is.True(u.memory < int64(memoryMB)*1e6)
	is.True(u.total < int64(memoryMB)*1e6)
	is.True(u.files < files)
}

// sampler samples the usage of a process until it is stopped.
type sampler struct {
	pid  int
	stop chan struct{}
	done chan usage
}

func newSampler(pid int) *sampler {
	s := &sampler{pid: pid, stop: make(chan struct{}), done: make(chan usage, 1)}
	go s.run()
	return s
}

func (s *sampler) run() {
	var u usage
	for {
		u.sample(s.pid)
		select {
		case <-s.stop:
			s.done <- u
			return
		case <-time.After(samplePeriod):
		}
	}
}

// sample records the present usage of a process.
func (u *usage) sample(pid int) {
	sockets, files := openFiles(pid)
	unread, unsent := queuedBytes(pid, sockets)
	u.memory = max(u.memory, residentBytes(pid))
	u.unread = max(u.unread, unread)
	u.total = max(u.total, statusBytes(pid, "VmRSS:")+unread)
	u.unsent = max(u.unsent, unsent)
	u.files = max(u.files, files)
}

// finish returns the highest usage.
func (s *sampler) finish() usage {
	close(s.stop)
	return <-s.done
}

// residentBytes returns the highest resident memory of a process, or 0 if it has
// ended.
func residentBytes(pid int) int64 { return statusBytes(pid, "VmHWM:") }

// statusBytes returns a field of the status of a process, or 0 if it has ended.
func statusBytes(pid int, field string) int64 {
	status, err := os.ReadFile(filepath.Join("/proc", strconv.Itoa(pid), "status"))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if v, ok := strings.CutPrefix(line, field); ok {
			kb, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// isAlive reports whether a process runs. One that has ended stays in the table of
// processes, without memory, until the test waits for it.
func isAlive(pid int) bool { return residentBytes(pid) > 0 }

// openFiles returns the inodes of a process's sockets and the number of its
// descriptors.
func openFiles(pid int) (sockets map[string]bool, files int) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, 0
	}
	sockets = make(map[string]bool, len(entries))
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if inode, ok := strings.CutPrefix(target, "socket:["); err == nil && ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return sockets, len(entries)
}

// Fields of a line of /proc/net/tcp.
const (
	tcpLocal  = 1
	tcpState  = 3
	tcpQueues = 4 // written and not acknowledged, and received and not read
	tcpInode  = 9

	tcpListen = "0A" // state of a listening socket
	noInode   = "0"  // of a connection that wasn't accepted
)

// queuedBytes returns the bytes that the TCP sockets of a process have received and that
// it hasn't read, also of connections that it hasn't accepted, and those that it has
// written and that weren't acknowledged.
func queuedBytes(pid int, sockets map[string]bool) (unread, unsent int64) {
	file, err := os.Open(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0, 0
	}
	defer file.Close()
	var listening []string
	notAccepted := make(map[string]int64) // by local address
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) <= tcpInode {
			continue
		}
		sent, received, ok := parseQueues(f[tcpQueues])
		switch {
		case !ok: // the line with the names of the fields
		case f[tcpState] == tcpListen && sockets[f[tcpInode]]:
			listening = append(listening, f[tcpLocal])
		case f[tcpState] == tcpListen:
		case f[tcpInode] == noInode:
			notAccepted[f[tcpLocal]] += received
		case sockets[f[tcpInode]]:
			unread += received
			unsent += sent
		}
	}
	for addr, n := range notAccepted {
		if slices.Contains(listening, addr) {
			unread += n
		}
	}
	return unread, unsent
}

// parseQueues parses the lengths of a socket's queues, "SENT:RECEIVED" in hexadecimal.
func parseQueues(s string) (sent, received int64, ok bool) {
	left, right, _ := strings.Cut(s, ":")
	sent, err := strconv.ParseInt(left, 16, 64)
	if err != nil {
		return 0, 0, false
	}
	received, err = strconv.ParseInt(right, 16, 64)
	return sent, received, err == nil
}
