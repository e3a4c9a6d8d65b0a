package process

import (
	"net"
	"net/netip"
	"slices"

	"spantack/standin/link"
)

// openMesh chooses a UDP address for each router and connects the addresses by a mesh.
func (d *Deployment) openMesh() (err error) {
	for range d.options.Routers {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return err
		}
		defer conn.Close() // open until all addresses are chosen, which makes them differ
		d.gossipAddrs = append(d.gossipAddrs, netip.MustParseAddrPort(conn.LocalAddr().String()))
	}
	d.Mesh, err = link.NewMesh(d.options.GossipSeed, slices.Clone(d.gossipAddrs))
	return err
}

// configureGossip adds the gossip addresses and the permission to send datagrams to the configuration of the router of
// the given rank.
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
