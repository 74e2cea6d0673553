// SPDX-License-Identifier: MIT

// Package soak runs the real programs as separate processes and breaks things
// from outside while agent programs go on: it delays, resets, silences and cuts
// connections one way with a proxy in front of each instance, and pauses, kills,
// stops, wipes and restarts processes by signals. A power loss kills processes and
// undoes a part of what they had not synced (package powerloss). The promises are
// checked while it runs, from what clients, endpoints and the operator see. Planned stops
// come in series beside that, and may lose no request that an instance has taken.
//
// Everything listens on loopback addresses, one for each instance. Only processes
// that the soak started are ever signalled.
package soak
