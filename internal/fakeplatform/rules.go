package fakeplatform

import (
	"math"

	"lichenpick/policy"
)

// socketSlackMs is by how much the time limits of rules are longer than the settings say.
const socketSlackMs = 300.0

// checkDrain checks the rule on drains when a proxy sends to a server.
func (x *proxy) checkDrain(server *server) {
	p := x.platform
	if x.slot == nil || server.listed == policy.Ready {
		return
	}
	notifiedMs, notified := x.slot.notifiedMs[server.leftReadyVersion]
	lateMs := p.NowMs() - max(notifiedMs, x.joinedMs)
	if notified && lateMs > p.config.DrainGraceMs+socketSlackMs {
		p.violate("proxy %d sent to %s, %.0f ms after planner %d was told that it drains", x.id, server.name, lateMs, x.slot.number)
	}
}

// recordUnserved records, after the tables of the proxy have changed, since when it has had no server to pick for a class.
func (x *proxy) recordUnserved() {
	for class := range x.tables {
		served := x.pick(class, nil) != nil
		switch {
		case served:
			x.unservedMs[class] = math.Inf(1)
		case math.IsInf(x.unservedMs[class], 1):
			x.unservedMs[class] = x.platform.NowMs()
		}
	}
}

// checkUnserved checks, when a proxy has no server to pick for a class, the rule on proxies without one.
func (x *proxy) checkUnserved(class int) {
	p := x.platform
	if x.slot == nil || !p.anyWarm(class, x.zone) {
		x.unservedMs[class] = p.NowMs()
		return
	}
	x.unservedMs[class] = max(x.unservedMs[class], x.joinedMs)
	if lateMs := p.NowMs() - x.unservedMs[class]; lateMs > p.config.MaxUnservedMs+socketSlackMs {
		p.violate("proxy %d has had no server to pick for %.0f ms", x.id, lateMs)
		x.unservedMs[class] = p.NowMs() // counted once
	}
}

// anyWarm reports whether the list shows a ready server, open to a class of the proxies of a zone, that started long enough ago
// to be warm.
func (p *Platform) anyWarm(class, zone int) bool {
	for _, server := range p.servers {
		if p.config.Classes[class].StaysLocal && server.zone != zone {
			continue
		}
		if server.listed == policy.Ready && (server.listedStartMs == 0 || p.NowMs()-server.listedStartMs >= p.config.WarmUpMs) {
			return true
		}
	}
	return false
}
