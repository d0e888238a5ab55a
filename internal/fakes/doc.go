// Package fakes has fakes of the systems around an entry host: the platform's
// store with its host list, and a backend server. Both are http.Handlers into
// which faults can be injected at run time: by methods in tests, and by requests
// to paths below /fake/ with the dev subcommand.
//
// # Usage
//
//	s := fakes.NewStore(clock.System(), "")
//	go http.Serve(l, s)
//	s.LoseResponses(1) // the next write takes effect without a response
//
//	b := fakes.NewBackend(fakes.BackendConfig{Name: "ledger-1", Slots: 2, ChecksFences: true})
//	srv := fakes.NewServer(b)
//	err := srv.Start()
//	b.Freeze()
//	b.Resume()
//	srv.Kill()
//	err = srv.Restart()
//
// Faults that depend on time use the clock that is passed in, except for delays
// and service times, which use timers in real time.
package fakes
