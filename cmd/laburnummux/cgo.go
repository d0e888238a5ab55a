// The platform requires programs that are linked to the C library, so this
// package uses cgo.

package main

import "C"
