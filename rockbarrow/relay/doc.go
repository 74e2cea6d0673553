// SPDX-License-Identifier: MIT

// Package relay distributes knowledge about entry and store instances among control instances, so
// that each of them knows all instances although each instance calls only a few control instances.
//
// An instance follows a few control instances by calling each of them several times a second. A
// control instance relays to every other control instance what its followers report: which
// instances are present ([Fleet]), their running calls, and the calls that have ended ([Reports]).
// The load on a control instance thus grows with its own followers and the number of control
// instances rather than with the size of the deployment.
//
// Messages are numbered deltas. The receiver acknowledges a sequence number of the sending process,
// and the next message contains what has changed since. A receiver that knows a different process,
// or none, acknowledges zero and receives a snapshot. A message whose base the receiver does not
// have is ignored.
//
// Relaying must not make an instance appear present for longer than it is:
//
//   - A follower that calls at its regular interval is relayed without a time, and counts as heard
//     when the message was received, which is at most [silenceThreshold] plus the sender's interval
//     too late. Once it is silent for longer, the duration of its silence is relayed, which removes
//     the error.
//   - The followers of a silent control instance count as heard when its last message was received.
//     They also follow other control instances, and the latest time counts.
//   - Each receiver counts an ended call once: reports carry sequence numbers, and those up to the
//     acknowledged one are skipped.
//   - Nothing that leases and quotas depend on is relayed: control instances confirm configurations
//     by calls among themselves, and entry instances with customers call every control instance.
package relay
