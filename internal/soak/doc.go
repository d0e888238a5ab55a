// Package soak runs entry hosts as separate processes, with fakes of the
// platform's store and of backend servers, and injects faults from outside:
// signals to the hosts, faults on their connections, a failing store, and
// backend servers that crash, hang, drain or send wrong responses. Callers keep
// using their connections until the host process has ended. An oracle checks
// what callers and backend servers observe against the guarantees that the
// router gives to callers.
//
// A seed always gives the same schedule of faults; how the faults coincide with
// requests differs between runs.
//
// # Usage
//
//	sum, err := soak.Run(ctx, soak.Config{
//		Seed: 7, Hosts: 3, Servers: 6, Length: 12 * clock.Second, Command: []string{"laburnummux", "front"}, Dir: dir,
//	})
//	for _, v := range sum.Violations {
//		fmt.Println(v.Rule, v.Text)
//	}
package soak
