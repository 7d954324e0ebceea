package steer

import (
	"time"

	"azureshift/core/packet"
	"azureshift/core/slowstart"
)

// slowStarts counts the new flows that this instance sent to servers in slow start.
type slowStarts struct {
	windows map[packet.Cookie]*slowstart.Window
	// candidates is the pool that candidates returns, and servers the memory of the servers of its failure domains.
	candidates Pool
	servers    [][]*Server
}

// cold reports whether new flows to the server are limited at now.
func (server *Server) cold(now time.Duration) bool {
	return now < server.ColdUntil
}

// LimitSlowStarts separates the servers to which this instance may send no new flows while they are in slow start. It
// is to be called when all servers are in their pools, and reports whether new flows to any server are limited.
func (table *Table) LimitSlowStarts() bool {
	limited := false
	for _, pool := range table.Pools {
		pool.open = nil
		for _, zone := range pool.Zones {
			for _, server := range zone.Servers {
				pool.coldUntil = max(pool.coldUntil, server.ColdUntil)
			}
		}
		if pool.coldUntil > 0 {
			pool.open, limited = pool.withoutForeignShares(), true
		}
	}
	return limited
}

// withoutForeignShares returns the pool without the servers in slow start of which this instance has no share. Those of
// which it has one come last in each failure domain.
func (pool *Pool) withoutForeignShares() *Pool {
	open := &Pool{Service: pool.Service, typicalIndex: pool.typicalIndex}
	for _, zone := range pool.Zones {
		separated := Zone{Domain: zone.Domain}
		var shared []*Server
		for _, server := range zone.Servers {
			switch {
			case server.ColdUntil == 0:
				separated.Servers = append(separated.Servers, server)
			case server.SlowStartShare > 0:
				shared = append(shared, server)
			}
		}
		separated.unlimited = len(separated.Servers)
		separated.Servers = append(separated.Servers, shared...)
		if len(separated.Servers) > 0 {
			open.Zones = append(open.Zones, separated)
		}
	}
	return open
}

// candidates returns the servers of a pool that may get a new flow now, or nil if the limits of servers in slow start
// leave none. The result is valid until the next call.
func (steering *Steering) candidates(now time.Duration, pool *Pool) *Pool {
	if now >= pool.coldUntil || pool.open == nil {
		return pool
	}
	slowStarts := &steering.slowStarts
	found := &slowStarts.candidates
	*found = Pool{Service: pool.Service, Zones: found.Zones[:0], typicalIndex: pool.typicalIndex}
	for len(slowStarts.servers) < len(pool.open.Zones) {
		slowStarts.servers = append(slowStarts.servers, nil)
	}
	for index := range pool.open.Zones {
		zone := &pool.open.Zones[index]
		servers := zone.Servers
		if zone.unlimited < len(servers) {
			servers = append(slowStarts.servers[index][:0], servers[:zone.unlimited]...)
			for _, server := range zone.Servers[zone.unlimited:] {
				if steering.admits(now, server) {
					servers = append(servers, server)
				}
			}
			slowStarts.servers[index] = servers
		}
		if len(servers) > 0 {
			found.Zones = append(found.Zones, Zone{Domain: zone.Domain, Servers: servers})
		}
	}
	if len(found.Zones) == 0 {
		return nil
	}
	return found
}

// admits reports whether a server may get a new flow at now by the limit on servers in slow start.
func (steering *Steering) admits(now time.Duration, server *Server) bool {
	if !server.cold(now) {
		return true
	}
	if server.SlowStartShare == 0 || now > steering.table.SharesUntil {
		return false
	}
	window, ok := steering.slowStarts.windows[server.Cookie]
	return !ok || window.Allows(now, server.SlowStartShare)
}

// countOpening counts an opening packet that is forwarded to a server, if the server is in slow start.
func (steering *Steering) countOpening(now time.Duration, server *Server) {
	if !server.cold(now) {
		return
	}
	window, ok := steering.slowStarts.windows[server.Cookie]
	if !ok {
		window = &slowstart.Window{}
		steering.slowStarts.windows[server.Cookie] = window
	}
	window.Add(now, server.SlowStartShare)
}

// forget removes the counts of servers that got no flow recently.
func (slowStarts *slowStarts) forget(now time.Duration) {
	for cookie, window := range slowStarts.windows {
		if window.IsEmpty(now) {
			delete(slowStarts.windows, cookie)
		}
	}
}

// CountCold returns the number of servers in slow start at now whose new flows are limited.
func (table *Table) CountCold(now time.Duration) int {
	count := 0
	for _, server := range table.Servers {
		if server.cold(now) && server.Condition == Usable {
			count++
		}
	}
	return count
}
