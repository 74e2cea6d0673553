// SPDX-License-Identifier: MIT

// Package controller implements the control instances of a deployment.
//
// A [Controller] is an acceptor of the replicated state (package register), proposes changes to
// that state on behalf of operators and publishes the chosen state to all other instances. Control
// instances share two tasks that one of them performs at a time: reading the list of endpoints, and
// moving stores and voters when instances join or leave. The performer is selected by rank and
// timing without coordination; performing a task twice is harmless.
package controller
