// SPDX-License-Identifier: MIT

// Package relay lets every control instance know all entry and store instances although each of these calls only a few.
//
// An instance follows a few control instances: it calls each of them several times a second. A control instance passes
// on to every other one what its followers report: who is there ([Fleet]), the calls that they have under way, and the
// calls that ended. So the calls at a control instance grow with its own followers and with the number of control
// instances, and not with the whole deployment; a follower's calls do not grow at all.
//
// Messages are numbered differences. The receiver acknowledges a sequence number of the sender's process, and the next
// message holds what changed since. A receiver that knows another process, or nothing, acknowledges zero and gets a
// snapshot. A message whose base the receiver does not have changes nothing.
//
// What holds, so that a relay makes nothing believed for longer:
//
//   - A follower that calls at its usual interval is relayed without a time, and counts as heard when the relay's message
//     was received: at most [calmWithin] and the relay's own interval too late. Once it is silent for longer, its silence
//     is relayed in milliseconds, and the error ends.
//   - A relay that is not heard any more refreshes nobody: its followers count as heard when its last message came.
//     They follow other control instances too, and whichever heard them last counts.
//   - A call that ended is counted once by each receiver: reports carry the sequence in which they came, and those up to the
//     acknowledged one are skipped.
//   - What leases and quotas rest on is not relayed: control instances confirm configurations by calls of their own, and
//     entry instances with customers call every control instance.
package relay
