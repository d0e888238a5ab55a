// The platform requires programs that are linked with the C library, so this
// package uses cgo.

package main

import "C"
