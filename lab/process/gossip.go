package process

import (
	"net"
	"net/netip"
	"slices"

	"spantack/standin/link"
)

// openMesh finds an address for the datagrams of each router, and puts a mesh between them.
func (d *Deployment) openMesh() (err error) {
	for range d.options.Routers {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		defer conn.Close() // each stays taken until all routers have one of their own
		d.gossipAddrs = append(d.gossipAddrs, netip.MustParseAddrPort(conn.LocalAddr().String()))
	}
	d.Mesh, err = link.NewMesh(d.options.GossipSeed, slices.Clone(d.gossipAddrs))
	return err
}

// configureGossip adds to the configuration of the router with a rank how it reaches the others, and that it may.
func (d *Deployment) configureGossip(rank int, doc map[string]any) {
	var peers []string
	for peer := range d.gossipAddrs {
		peers = append(peers, d.Mesh.Addr(peer))
	}
	doc["peer_listen"] = d.gossipAddrs[rank].String()
	doc["peers"] = peers
	doc["peers_all"] = d.Mesh.BroadcastAddr()
	settingsOf(doc)["Permissions"].(map[string]any)["MayTell"] = true
}
