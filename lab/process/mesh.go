package process

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"spantack/standin/link"
)

// openMesh finds an address for each router's datagrams and puts a mesh between them.
func (d *Deployment) openMesh() (err error) {
	for range d.options.Routers {
		c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		d.gossipAddrs = append(d.gossipAddrs, c.LocalAddr().(*net.UDPAddr).AddrPort())
		defer c.Close() // all are held until each has one of its own
	}
	d.Mesh, err = link.NewMesh(d.options.GossipSeed, append([]netip.AddrPort(nil), d.gossipAddrs...))
	return err
}

// configureGossip lets a router's configuration say how to reach the others.
func (d *Deployment) configureGossip(i int, doc map[string]any) {
	var peers []string
	for rank := range d.gossipAddrs {
		peers = append(peers, d.Mesh.Addr(rank))
	}
	doc["peer_listen"], doc["peers"], doc["peers_all"] = d.gossipAddrs[i].String(), peers, d.Mesh.BroadcastAddr()
	set := doc["settings"].(map[string]any)
	set["Rank"] = i
	set["Permissions"].(map[string]any)["MayTell"] = true
}

// Freeze stops a router's process for a while, as a starved machine does.
func (r *Router) Freeze(d time.Duration) error {
	if err := r.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	time.Sleep(d)
	return r.Signal(syscall.SIGCONT)
}

// Restart starts a router that was killed, under its name and addresses, with nothing but its configuration.
func (d *Deployment) Restart(ctx context.Context, i int) error {
	r, err := d.startRouter(i, d.Routers[i])
	if err != nil {
		return err
	}
	d.Routers[i] = r
	return r.waitUntilReady(ctx)
}
