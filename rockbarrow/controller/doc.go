// SPDX-License-Identifier: MIT

// Package controller is the job of a control instance.
//
// A [Controller] votes on the register (package register), runs rounds for
// operators, tells all others what is in force, and with the other control
// instances shares two duties that need only one at a time: reading the list of
// endpoints, and moving stores and voters when instances come and go. Who does a
// duty is agreed by rank and time alone, as doing it twice harms nothing.
package controller
