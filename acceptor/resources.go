package acceptor

const (
	// platformDescriptors are reserved by the platform for files outside the data directory.
	platformDescriptors = 200
	// clientMemoryDivisor is the part of the process's memory that connections of clients may take.
	clientMemoryDivisor = 4
	// unprovenMemoryDivisor is the part that connections at the port for processes may take before they have carried a
	// call, while they are quiet, and sendingMemoryDivisor that of those that are not. A whole fleet may connect at once.
	unprovenMemoryDivisor = 6
	sendingMemoryDivisor  = 16
	// requestMemoryFraction is the fraction of the process's memory that requests and answers of clients may hold. The
	// heap grows to nearly twice its live data.
	requestMemoryFraction = 0.3
	// probeShare is the share of the connections at ports with a handful of clients, of which there are
	// maxProbeConnections at the most, with heads of up to maxProbeHeadBytes.
	probeShare          = 1. / 32
	maxProbeConnections = 64
	maxProbeHeadBytes   = 8 << 10
	// Connections that wait to be accepted, by the kind of port. Where the queue is full, clients try again after a
	// second.
	pendingClients = 512
	pendingPeers   = 256
	pendingProbes  = 32
)

// HeapFraction is the fraction of the memory of a process that is the soft limit of the Go runtime. What the kernel
// holds for its connections, and the program itself, count towards the same memory.
const HeapFraction = 0.55

// Shares are the shares of the descriptors of a process for the connections of its ports. The rest is for probes, for
// connections that the process opens itself, and for its files.
type Shares struct{ Clients, Peers float64 }

// Shares of the kinds of processes: routers serve callers, and keepers serve all routers.
var (
	RouterShares = Shares{Clients: 0.5, Peers: 0.26}
	KeeperShares = Shares{Clients: 0.25, Peers: 0.5}
)

// Resources are what a process may use; 0 means no limit.
type Resources struct {
	MemoryBytes int64
	Descriptors int
	Shares      Shares
}

// RequestMemory returns the bytes that requests and answers of all clients may hold; 0 means no limit.
func (r Resources) RequestMemory() int64 {
	return int64(requestMemoryFraction * float64(r.MemoryBytes))
}

// ForClients returns the limits of the port for callers, or for operators and endpoints, with heads of up to
// headBytes.
func (r Resources) ForClients(headBytes func() int64) Limits {
	return Limits{Connections: r.share(r.Shares.Clients), ConnectionBytes: int(r.MemoryBytes / clientMemoryDivisor), Pending: pendingClients, HeadBytes: headBytes}
}

// ForPeers returns the limits of the port for other processes.
func (r Resources) ForPeers() Limits {
	n := r.share(r.Shares.Peers)
	return Limits{
		Connections: n, Unproven: lower(n, r.connectionsIn(unprovenMemoryDivisor, quietCost)), Sending: lower(n, r.connectionsIn(sendingMemoryDivisor, connectionCosts[phaseNew])),
		Pending: pendingPeers,
	}
}

// ForProbes returns the limits of a port with a handful of clients, which send nothing but short heads.
func (r Resources) ForProbes() Limits {
	return Limits{Connections: lower(r.share(probeShare), maxProbeConnections), Pending: pendingProbes, HeadBytes: func() int64 { return maxProbeHeadBytes }}
}

// share returns a share of the descriptors, or 0 for no limit.
func (r Resources) share(share float64) int {
	if r.Descriptors <= 0 {
		return 0
	}
	return max(int(share*float64(r.Descriptors-platformDescriptors)), 1)
}

// connectionsIn returns how many connections of some cost fit into a part of the memory, or 0 for no limit.
func (r Resources) connectionsIn(divisor, cost int64) int {
	if r.MemoryBytes <= 0 {
		return 0
	}
	return max(int(r.MemoryBytes/divisor/cost), 1)
}

// lower returns the lower of two limits, of which 0 means none.
func lower(a, b int) int {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}
