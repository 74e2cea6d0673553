// SPDX-License-Identifier: MIT

package soak

import (
	"encoding/binary"
	"net"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Layout of a request and its reply in bytes, as in linux/inet_diag.h. The kernel's text table of all connections takes too long to
// read while there are many.
const (
	diagByFamily = 20
	diagRequest  = unix.SizeofNlMsghdr + 56
	// The socket's id follows eight bytes of the request: two ports, two addresses of 16 bytes, the interface and a cookie.
	diagPorts, diagSource, diagTarget, diagCookie = unix.SizeofNlMsghdr + 8, unix.SizeofNlMsghdr + 12, unix.SizeofNlMsghdr + 28, unix.SizeofNlMsghdr + 48
	// The inode ends the reply.
	diagInode = unix.SizeofNlMsghdr + 68
)

// socketInode returns the inode of the local TCP socket with the given addresses.
func socketInode(local, remote *net.TCPAddr) (uint32, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, errors.Wrap(err, "soak: netlink")
	}
	defer unix.Close(fd)
	b := make([]byte, diagRequest)
	binary.NativeEndian.PutUint32(b, diagRequest)
	binary.NativeEndian.PutUint16(b[4:], diagByFamily)
	binary.NativeEndian.PutUint16(b[6:], unix.NLM_F_REQUEST)
	b[unix.SizeofNlMsghdr], b[unix.SizeofNlMsghdr+1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.BigEndian.PutUint16(b[diagPorts:], uint16(local.Port))
	binary.BigEndian.PutUint16(b[diagPorts+2:], uint16(remote.Port))
	copy(b[diagSource:], local.IP.To4())
	copy(b[diagTarget:], remote.IP.To4())
	const anyCookie = ^uint64(0)
	binary.NativeEndian.PutUint64(b[diagCookie:], anyCookie)
	if err := unix.Sendto(fd, b, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, errors.Wrap(err, "soak: netlink")
	}
	reply := make([]byte, unix.Getpagesize())
	n, _, err := unix.Recvfrom(fd, reply, 0)
	if err != nil {
		return 0, errors.Wrap(err, "soak: netlink")
	}
	if n < diagInode+4 || binary.NativeEndian.Uint16(reply[4:]) != diagByFamily {
		return 0, errors.Errorf("soak: no socket from %v to %v", local, remote)
	}
	return binary.NativeEndian.Uint32(reply[diagInode:]), nil
}
