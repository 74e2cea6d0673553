// SPDX-License-Identifier: MIT

package soak

import (
	"net"
	"os"
	"testing"
)

// TestTheProcessOfAConnectionIsFound guards against cuts that separate nobody, as the senders of connections are not known.
func TestTheProcessOfAConnectionIsFound(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	inode, err := socketInode(c.LocalAddr().(*net.TCPAddr), c.RemoteAddr().(*net.TCPAddr))
	if err != nil || !holdsSocket(os.Getpid(), inode) {
		t.Errorf("inode %d, %v, is not one of this process", inode, err)
	}
	if _, err := socketInode(c.LocalAddr().(*net.TCPAddr), &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9), Port: 9}); err == nil {
		t.Error("a connection that does not exist was found")
	}
}
