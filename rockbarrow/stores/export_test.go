// SPDX-License-Identifier: MIT

package stores

// AllAnswered reports whether all stores answered their last calls.
func (c *Client) AllAnswered() bool {
	return c.health.allHealthy(c.Watch.State().GetView().GetMembers())
}
