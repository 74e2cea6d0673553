// SPDX-License-Identifier: MIT

// Package crowd plays clients that don't behave, many at once, and measures what they cost a process: memory, bytes that it does not read, and
// descriptors.
package crowd

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

// sampleInterval is the interval at which the memory of a process is sampled.
const sampleInterval = 20 * time.Millisecond

// Footprint follows what a process takes of its machine. Set PID and Address before Loop.
type Footprint struct {
	PID int
	// Address is where its clients connect.
	Address string

	mu   sync.Mutex
	most Usage
}

// Usage is what a process takes of its machine.
type Usage struct {
	// Memory is the sum of its resident memory and the bytes that have arrived for it and are not read, in bytes; Unread are the latter.
	Memory, Unread int64
	// Files is its number of descriptors.
	Files int
}

// Most returns the largest memory with what was unread at that moment, and the most descriptors.
func (p *Footprint) Most() Usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.most
}

// Loop samples the process until done is closed.
func (p *Footprint) Loop(done <-chan struct{}) {
	t := time.NewTicker(sampleInterval)
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

func (p *Footprint) sample() {
	unread, err := unreadBytes(p.Address)
	if err != nil {
		return
	}
	resident, err := residentBytes(p.PID)
	if err != nil {
		return
	}
	files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.PID))
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if resident+unread > p.most.Memory {
		p.most.Memory, p.most.Unread = resident+unread, unread
	}
	p.most.Files = max(p.most.Files, len(files))
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
