package launcher

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// samplingInterval is the time between two measurements of a process.
const samplingInterval = 20 * time.Millisecond

// Usage is the most that a process has used since WatchUsage. It is safe for concurrent use.
type Usage struct {
	pid int
	ip  string
	// maxMemory and maxUnread are in bytes.
	maxMemory, maxUnread, maxDescriptors atomic.Int64
}

// WatchUsage measures a process whose ports have an address of their own, until done is closed.
func WatchUsage(pid int, ip string, done <-chan struct{}) *Usage {
	u := &Usage{pid: pid, ip: ip}
	go u.watch(done)
	return u
}

// Memory returns the highest sum of the resident memory, in bytes, and of what the kernel holds that the process has
// not read.
func (u *Usage) Memory() int64 { return u.maxMemory.Load() }

// Unread returns the most that the kernel held, in bytes.
func (u *Usage) Unread() int64 { return u.maxUnread.Load() }

// Descriptors returns the highest number of open descriptors.
func (u *Usage) Descriptors() int64 { return u.maxDescriptors.Load() }

func (u *Usage) watch(done <-chan struct{}) {
	t := time.NewTicker(samplingInterval)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case <-t.C:
		}
		unread := u.unreadBytes()
		u.maxUnread.Store(max(u.maxUnread.Load(), unread))
		u.maxMemory.Store(max(u.maxMemory.Load(), u.status("VmRSS:")+unread, u.status("VmHWM:")))
		if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", u.pid)); err == nil {
			u.maxDescriptors.Store(max(u.maxDescriptors.Load(), int64(len(entries))))
		}
	}
}

// status returns a line of the process's status, in bytes.
func (u *Usage) status(line string) int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", u.pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(b), line)
	fields := strings.Fields(after)
	if len(fields) == 0 {
		return 0
	}
	n, _ := strconv.ParseInt(fields[0], 10, 64)
	return n << 10
}

// unreadBytes returns the bytes that have arrived at the process's connections and that it has not read.
func (u *Usage) unreadBytes() int64 {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0
	}
	defer file.Close()
	ip := net.ParseIP(u.ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", ip[3], ip[2], ip[1], ip[0])
	const listening = "0A"
	sum := int64(0)
	for s := bufio.NewScanner(file); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) < 5 || !strings.HasPrefix(fields[1], local) || fields[3] == listening {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, _ := strconv.ParseInt(queue, 16, 64)
		sum += n
	}
	return sum
}
