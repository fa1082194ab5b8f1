package routeplan

// HasHost reports whether any route is for the host name.
func (t *Table) HasHost(host string) bool {
	host = canonicalHost(host)
	for key := range t.routes {
		if key.host == host {
			return true
		}
	}
	return false
}
