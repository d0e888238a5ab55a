package main

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/platform"
)

// Guards against a flag with a wrong list that starts a host as if nothing were disabled.
func TestInvalidFeatures(t *testing.T) {
	const known = "admission, slow-start, slowdown, handover"
	tests := []struct {
		name string
		args []string
		want []string // parts of the message
	}{
		{"unknown", []string{"--disable", "admision"}, []string{`"admision"`, known}},
		{"one of two", []string{"--disable", "slowdown,warmup"}, []string{`"warmup"`, known}},
		{"in a second flag", []string{"--disable", "slowdown", "--disable", "x"}, []string{`"x"`, known}},
		{"empty", []string{"--disable", ""}, []string{`""`, known}},
		{"comma at the end", []string{"--disable", "slowdown,"}, []string{`""`, known}},
		{"no list", []string{"--disable"}, []string{"flag needs an argument"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			cmd := exec.Command(os.Args[0], append([]string{"front"}, tt.args...)...)
			cmd.Env = append(os.Environ(), runAsCommand+"=1", platform.SettingsVariable+"=/none")
			out, err := cmd.CombinedOutput()
			exit, ok := err.(*exec.ExitError)
			is.True(ok)
			is.Equal(exit.ExitCode(), 1)
			for _, part := range tt.want {
				is.True(strings.Contains(string(out), part))
			}
		})
	}
}

// metric returns the lines of the metrics of a host that begin with a name.
func (h *frontHost) metric(name string) (lines []string) {
	ip, _, _ := net.SplitHostPort(h.addr)
	resp, err := http.Get("http://" + net.JoinHostPort(ip, "9464") + "/metrics")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	sc := bufio.NewScanner(resp.Body)
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), name) {
			lines = append(lines, sc.Text())
		}
	}
	return lines
}

// Guards against a flag that doesn't reach the host, and against a host that has features
// disabled without saying so, or says so without the flag.
func TestDisableFeatures(t *testing.T) {
	tests := []struct {
		name string
		args []string
		want []string // disabled
	}{
		{"no flag", nil, nil},
		{"list", []string{"--disable", "handover, admission"}, []string{"handover", "admission"}},
		{"two flags", []string{"--disable", "slow-start", "--disable", "slowdown"}, []string{"slow-start", "slowdown"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, w, err := os.Pipe()
			is.NoErr(err)
			defer r.Close()
			h := frontOptions{serviceTime: time.Millisecond, maxBody: 1 << 20, stdout: w, args: append([]string{"--metrics", "9464", "--level", "info"}, tt.args...)}.start(t)
			w.Close()
			defer h.dial(t, "history", "first").Close()
			values := h.metric("laburnummux_feature_enabled{")
			is.Equal(len(values), 4)
			for _, name := range []string{"admission", "handover", "slow-start", "slowdown"} {
				value := "1"
				if slices.Contains(tt.want, name) {
					value = "0"
				}
				is.True(slices.Contains(values, `laburnummux_feature_enabled{feature="`+name+`"} `+value))
			}
			is.NoErr(r.SetReadDeadline(time.Now().Add(stateTimeout)))
			is.Equal(disabledFeatures(t, r), tt.want)
		})
	}
}

// disabledFeatures returns the features that the log of a host names as disabled before
// the line of its first request.
func disabledFeatures(t *testing.T, log io.Reader) (names []string) {
	t.Helper()
	sc := bufio.NewScanner(log)
	for named := false; sc.Scan(); {
		var l struct {
			Msg      string   `json:"msg"`
			Features []string `json:"features"`
		}
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			t.Fatal(err)
		}
		switch {
		case l.Msg == "request":
			return names
		case l.Msg == "features are disabled" && named:
			t.Error("more than one line")
		case l.Msg == "features are disabled":
			names, named = l.Features, true
		}
	}
	t.Fatalf("the log ends before a request: %v", sc.Err())
	return nil
}
