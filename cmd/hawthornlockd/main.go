// Command hawthornlockd is the daemon of the query tier.
package main

import "net"

func main() {
	_ = net.IPv4len
}
