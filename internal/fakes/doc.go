// Package fakes has stand-ins for the systems around an entry host: the
// platform's store with its host list, and a backend server. Both are
// http.Handlers whose faults are switched at run time, by methods in tests and
// below /fake/ by operators of the dev subcommand.
//
// # Usage
//
//	s := fakes.NewStore(clock.System(), "")
//	go http.Serve(l, s)
//	s.LoseAnswers(1) // the next write takes effect without an answer
//
//	b := fakes.NewBackend(fakes.BackendConfig{Name: "ledger-1", Slots: 2, Checks: true})
//	srv := fakes.NewServer(b)
//	err := srv.Start()
//	b.Freeze()
//	b.Resume()
//	srv.Kill()
//	err = srv.Restart()
//
// Faults that depend on time follow the clock that is passed in, except for
// delays and service times, which are waits of the operating system.
package fakes
