// SPDX-License-Identifier: MIT

package stores

// AllAnswered reports whether all stores have answered their last calls.
func (c *Client) AllAnswered() bool {
	return c.health.allProven(c.Watch.State().GetView().GetMembers())
}
