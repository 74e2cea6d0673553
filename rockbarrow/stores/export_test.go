// SPDX-License-Identifier: MIT

package stores

// Proven reports whether all stores have answered their last calls.
func (c *Client) Proven() bool { return c.health.allProven(c.Watch.State().GetView().GetMembers()) }
