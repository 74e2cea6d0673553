// SPDX-License-Identifier: MIT

package soak

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// crowdSample is the interval at which the memory of a process is sampled.
const crowdSample = 20 * time.Millisecond

// footprint follows what a process takes of its machine.
type footprint struct {
	pid int
	// address is where its clients connect.
	address string

	mu sync.Mutex
	// memory is the largest sum of its resident memory and the bytes that have arrived for it and are not read, in bytes. unread are the
	// latter at that moment, and files the most descriptors it had.
	memory, unread int64
	files          int
}

// loop samples the process until done is closed.
func (p *footprint) loop(done <-chan struct{}) {
	t := time.NewTicker(crowdSample)
	defer t.Stop()
	for {
		p.sample()
		select {
		case <-t.C:
		case <-done:
			return
		}
	}
}

func (p *footprint) sample() {
	unread, err := unreadBytes(p.address)
	if err != nil {
		return
	}
	resident, err := residentBytes(p.pid)
	if err != nil {
		return
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid))
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if resident+unread > p.memory {
		p.memory, p.unread = resident+unread, unread
	}
	p.files = max(p.files, len(files))
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	var total, resident int64
	_, err = fmt.Sscan(string(b), &total, &resident)
	return resident * int64(os.Getpagesize()), err
}

// unreadBytes returns the bytes that have arrived at an address and were not read, on all its connections.
func unreadBytes(address string) (int64, error) {
	tcp, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return 0, err
	}
	ip := tcp.IP.To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], tcp.Port)
	b, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	total := int64(0)
	for line := range bytes.Lines(b) {
		fields := strings.Fields(string(line))
		// The fourth field is the state, 01 for established, 08 for closed by the client.
		if len(fields) < 5 || fields[1] != local || fields[3] != "01" && fields[3] != "08" {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, 16, 64)
		if err != nil {
			return 0, err
		}
		total += n
	}
	return total, nil
}
