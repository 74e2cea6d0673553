// SPDX-License-Identifier: MIT

// Package admission decides which waiting call goes next and which is refused.
//
// Calls wait by customer. The customer that has had the least for its weight
// goes first; within a customer, runs under way go before new ones and older
// runs before younger ones. A call that could not be served before its deadline
// is refused at once, with the time to come back, and never held back:
//
//	g := admission.Gate{MaxQueue: 512}
//	for _, a := range g.Handle(now, admission.Arrived{ID: 1, Customer: "club"}) {
//		switch a := a.(type) {
//		case admission.Try:
//			// find an endpoint; answer with admission.Taken or admission.NoRoom
//		case admission.Refuse:
//			// tell the caller; nothing ran
//		}
//	}
package admission
