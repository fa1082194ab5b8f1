package settings

import (
	"flag"
	"time"
)

// Intake bounds what clients may use for requests that have not been answered.
type Intake struct {
	Memory             uint64 // bytes; 0 for a share of the memory limit
	CallerConnections  int    // 0 for a number that follows from the memory limit
	ControlConnections int    // on each other listener for clients; 0 likewise
	PeerMemory         uint64 // bytes, for messages of other hosts; 0 for a share of the memory limit
	PeerConnections    int    // of other hosts; 0 for a number that follows from the memory limit
	MemoryPermille     int    // of the memory, for one client address
	AddressPermille    int    // of the connections of a listener, for one client address
	HeadTimeout        time.Duration
	BodyStall          time.Duration
	AnswerStall        time.Duration
}

// Bounds of these settings. A route plan of 8 MiB needs twice its size.
const (
	minIntakeMemory      = 4 << 20
	minIntakeConnections = 8
	maxIntakeConnections = 1 << 20
	minIntakePermille    = 100
	minIntakeTime        = 100 * time.Millisecond
	maxIntakeTime        = 10 * time.Minute
)

func (i *Intake) flags(fs *flag.FlagSet) {
	fs.Uint64Var(&i.Memory, "intake-memory", 0, "bytes of memory for requests of clients that are being received or wait for an answer, at least 4194304; 0 for an eighth of -memory-limit, or 67108864 without one")
	fs.IntVar(&i.CallerConnections, "caller-connections", 0, "maximum number of connections of callers, 8 to 1048576; 0 for one for each 262144 bytes of -memory-limit, or 4096 without one")
	fs.IntVar(&i.ControlConnections, "control-connections", 0, "maximum number of connections on each of the listeners for targets, administration, readiness and metrics, 8 to 1048576; 0 for half of the default of -caller-connections")
	fs.Uint64Var(&i.PeerMemory, "peer-memory", 0, "bytes of memory for messages of other hosts that are being received or wait for an answer, at least 4194304; 0 for an eighth of -memory-limit, or 67108864 without one")
	fs.IntVar(&i.PeerConnections, "peer-connections", 0, "maximum number of connections of other hosts, 8 to 1048576; 0 for one for each 131072 bytes of -memory-limit, or 8192 without one")
	fs.IntVar(&i.MemoryPermille, "address-memory-permille", 750, "share of -intake-memory that the requests from one client address may take, per thousand, 100 to 1000")
	fs.IntVar(&i.AddressPermille, "address-connections-permille", 875, "share of a listener's connections that one client address may have, per thousand, 100 to 1000")
	fs.DurationVar(&i.HeadTimeout, "head-timeout", 5*time.Second, "how long a client may take to send the head of a request, 100ms to 10m")
	fs.DurationVar(&i.BodyStall, "body-stall", 10*time.Second, "time in which a client must send 1024 bytes of a body or its end, 100ms to 10m")
	fs.DurationVar(&i.AnswerStall, "answer-stall", 20*time.Second, "time in which a client must take 16384 bytes of an answer, 100ms to 10m")
}

func (i *Intake) check(c *checker) {
	for _, m := range []struct {
		flag  string
		value uint64
	}{{"intake-memory", i.Memory}, {"peer-memory", i.PeerMemory}} {
		if m.value != 0 && m.value < minIntakeMemory {
			c.add("-%s %d is not 0 and less than %d", m.flag, m.value, minIntakeMemory)
		}
	}
	for _, n := range []struct {
		flag  string
		value int
	}{{"caller-connections", i.CallerConnections}, {"control-connections", i.ControlConnections}, {"peer-connections", i.PeerConnections}} {
		if n.value != 0 && (n.value < minIntakeConnections || n.value > maxIntakeConnections) {
			c.add("-%s %d is neither 0 nor within %d..%d", n.flag, n.value, minIntakeConnections, maxIntakeConnections)
		}
	}
	for _, n := range []struct {
		flag  string
		value int
	}{{"address-memory-permille", i.MemoryPermille}, {"address-connections-permille", i.AddressPermille}} {
		if n.value < minIntakePermille || n.value > maxPermille {
			c.add("-%s %d is outside %d..%d", n.flag, n.value, minIntakePermille, maxPermille)
		}
	}
	for _, d := range []struct {
		flag  string
		value time.Duration
	}{{"head-timeout", i.HeadTimeout}, {"body-stall", i.BodyStall}, {"answer-stall", i.AnswerStall}} {
		if d.value < minIntakeTime || d.value > maxIntakeTime {
			c.add("-%s %s is outside %s..%s", d.flag, d.value, minIntakeTime, maxIntakeTime)
		}
	}
}
