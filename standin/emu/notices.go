package emu

import (
	"net/netip"
	"time"

	"toucangap/internal/holders"
)

const (
	// registrationDelay is the time from a host's start until it is registered, listingDelay
	// that until the other hosts know of a registration or its removal.
	registrationDelay = 100 * time.Millisecond
	listingDelay      = 50 * time.Millisecond
)

// noticeAddress returns the address at which a host receives notices.
func (h *Host) noticeAddress() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(h.index >> 8), byte(h.index)}), 7720)
}

func (h *Host) noticeHost() holders.Host {
	return holders.Host{Name: h.Domain + "/" + h.noticeAddress().String(), Domain: h.Domain, Address: h.noticeAddress()}
}

// register sets whether the host is registered, of which all hosts learn after listingDelay.
func (h *Host) register(registered bool) {
	em := h.emulator
	h.registered = registered
	em.At(em.now+listingDelay, em.listHosts)
}

// listHosts tells all hosts which ones are registered.
func (em *Emulator) listHosts() {
	for _, h := range em.hosts {
		h.list()
	}
}

// list tells the host which ones are registered.
func (h *Host) list() {
	var list []holders.Host
	for _, other := range h.emulator.hosts {
		if other.registered {
			list = append(list, other.noticeHost())
		}
	}
	h.notices.SetDirectory(h.emulator.now, holders.NewDirectory(list, h.noticeHost()))
}

// noticeOutput sends a host's notices.
type noticeOutput struct{ *Host }

// Send implements holders.Output.
func (o noticeOutput) Send(to netip.AddrPort, n holders.Notice) {
	em := o.emulator
	if em.noticeRNG.Float64() < max(em.Config.Loss, em.Config.NoticeLoss) {
		return
	}
	address := to.Addr().As4()
	other := em.hosts[int(address[2])<<8|int(address[3])]
	delay := em.Config.NoticeDelay + em.delayBy(em.noticeRNG, o.Domain, other.Domain)
	em.At(em.now+delay, func() { other.notice(o.noticeAddress(), n) })
}

// Reported implements holders.Output.
func (o noticeOutput) Reported(now time.Duration, n holders.Notice) { o.relay.HolderReported(now, n) }

// notice handles a notice of another host. Those for a paused host wait.
func (h *Host) notice(from netip.AddrPort, n holders.Notice) {
	switch {
	case h.paused:
		h.waitingNotices = append(h.waitingNotices, func() { h.notice(from, n) })
	case h.up:
		h.notices.Receive(h.emulator.now, from, n)
		h.schedule()
	}
}
