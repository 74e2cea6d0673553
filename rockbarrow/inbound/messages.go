// SPDX-License-Identifier: MIT

package inbound

// beginMessage notes that the message of a further call of a connection is to come.
func (t *Calls) beginMessage(c *callConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.messages++
}

// endMessage notes that a message is whole, of a number of bytes, or does not come any more.
func (t *Calls) endMessage(c *callConn, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.messages--
	if c.messages == 0 {
		// What is left are heads and other frames.
		n = c.unfinished
	}
	t.addUnfinished(c, -min(n, c.unfinished))
}

// receive notes bytes on a connection. Where the messages that are not whole take too much, the clients of the largest ones give way.
func (t *Calls) receive(c *callConn, n int64) {
	var out []*callConn
	t.mu.Lock()
	if c.messages > 0 && !c.evicted {
		t.addUnfinished(c, n)
	}
	for t.UnfinishedBytes > 0 && t.unfinished > t.UnfinishedBytes {
		largest := c
		for _, other := range t.conns {
			if other.unfinished > largest.unfinished {
				largest = other
			}
		}
		if largest.unfinished == 0 {
			break
		}
		t.addUnfinished(largest, -largest.unfinished)
		largest.evicted = true
		out = append(out, largest)
	}
	t.mu.Unlock()
	for _, c := range out {
		if t.Limits.OnEvict != nil {
			t.Limits.OnEvict()
		}
		c.Evict(true)
	}
}

// addUnfinished changes what has arrived of messages that are not whole. The caller holds mu.
func (t *Calls) addUnfinished(c *callConn, n int64) {
	c.unfinished += n
	t.unfinished += n
}
