package policy

import (
	"cmp"
	"math"
	"slices"
)

// Next makes at most one decision, by one call on the host, and says whether it did. Its caller calls it until it says
// false. An evaluation takes place when the last is some time ago or endpoints or proxies came or left.
func (p *Policy) Next(host Host) bool {
	if p.now-p.evaluatedMs >= evaluationIntervalMs || p.dirty {
		p.evaluatedMs = p.now
		p.dirty = false
		p.evaluate()
		p.updateEjections()
		p.updateAdmissionIfDue()
		p.solveIfDue()
		p.plan()
	}
	for len(p.pendingDecisions) > 0 {
		decide := p.pendingDecisions[0]
		p.pendingDecisions = p.pendingDecisions[1:]
		if decide(host) {
			return true
		}
	}
	if p.now < p.timerMs {
		return false
	}
	p.timerMs = p.now + evaluationIntervalMs
	host.SetTimer(evaluationIntervalMs)
	return true
}

// measureRound sets how far reports are looked back for. A round of them, in which each server reports once, takes longer
// where there are more than the intake lets through.
func (p *Policy) measureRound() {
	middle := quantile(p.covers, 2, func(coversMs float64) float64 { return coversMs })
	p.roundMs = math.Max(p.set.ReportIntervalMs, middle)
	p.windowMs = math.Max(minWindowMs, reportRounds*p.roundMs)
}

// pollEndpoints asks for the endpoint list where it comes only on request, until an update shows that it comes.
func (p *Policy) pollEndpoints(host Host) bool {
	if !p.set.WatchRequired || p.watching || p.now < p.pollMs {
		return false
	}
	p.pollMs = p.now + math.Max(p.pollBackoff, p.set.AssumeNotifiedMs/pollsUntilNotified)
	host.WatchEndpoints()
	return true
}

// backOffPolling waits twice as long after each failed poll, spread so that planners do not poll together.
func (p *Policy) backOffPolling() {
	p.watching = false
	p.pollMs = p.now + p.pollBackoff*(0.5+p.random.Float64())
	p.pollBackoff = math.Min(2*p.pollBackoff, p.set.AssumeNotifiedMs/2)
}

// plan lists what is to do, what cannot wait first. Each entry is one decision, made if the channel has room.
func (p *Policy) plan() {
	p.pendingDecisions = append(p.pendingDecisions[:0:0], p.pollEndpoints)
	lines := [required + 1][]func(Host) bool{}
	for _, t := range p.tables {
		p.changes(t, &lines)
	}
	p.pendingDecisions = append(p.pendingDecisions, lines[required]...)
	rush := p.rush()
	drains, fit := p.drains(rush)
	if fit {
		for _, s := range drains {
			p.pendingDecisions = append(p.pendingDecisions, func(h Host) bool { return p.mask(h, s, true, rush) })
		}
	}
	for _, q := range p.proxies {
		for k := range p.parts {
			if q.bound[k] == nil && q.cohort >= 0 && fit {
				p.bind(q, k, rush)
			}
		}
	}
	for _, s := range p.servers { // after first tables: many cold servers rest at once when planners restart
		if out := !s.usable() && !p.expired(s); out != s.ejected && (out || !p.unsolved) && (!rush || s.State == Ready) {
			p.pendingDecisions = append(p.pendingDecisions, func(h Host) bool { return p.mask(h, s, out, rush) })
		}
	}
	p.pendingDecisions = append(p.pendingDecisions, lines[urgent]...)
	for g := range p.admission {
		p.pendingDecisions = append(p.pendingDecisions, func(h Host) bool {
			l := &p.admission[g]
			if l.target == l.sent || (l.sent >= 0 && !p.spendBudget(1, p.proxies, urgent)) {
				return false
			}
			l.sent = l.target
			h.SetAdmission(AllTables, g, l.target, l.retry)
			return true
		})
	}
	for _, q := range p.proxies {
		if q.inheritedEjections {
			p.pendingDecisions = append(p.pendingDecisions, func(h Host) bool { return p.restore(h, q, len(q.unrestored), deferrable) })
		}
	}
	if !p.lagging {
		p.pendingDecisions = append(p.pendingDecisions, lines[deferrable]...)
	}
	p.pendingDecisions = append(p.pendingDecisions, p.requestAcknowledgements)
}

// mask shuts out a server that drains, is gone or was judged bad, or lets one back once no table holds more
// of it than its ramp allows. It concerns proxies whose tables hold it or are not ours; else its line tells.
func (p *Policy) mask(h Host, s *server, out, rush bool) bool {
	if out && p.solves > 0 && !slices.ContainsFunc(s.entries, (*entry).inUse) &&
		(rush || !slices.ContainsFunc(p.proxies, (*proxy).foreign)) {
		return false // as below, but there may be many
	}
	to := p.holders(s, out, rush)
	if out && (len(to) == 0 || s.State == Ready && !slices.ContainsFunc(s.entries, (*entry).inUse)) ||
		!out && slices.ContainsFunc(s.entries, (*entry).overTarget) {
		return false
	}
	// A drain waits to share its message only while messages are short, and not too long.
	must := out && (s.State != Ready || p.cold(s)) &&
		(rush || p.now >= s.notified+p.set.DrainGraceMs/2-p.set.MaxPropagationMs)
	last := required + min(int(s.State), 1) // drained, unless it is ready
	lines := 1.0
	if !out && p.set.OmitsEntries {
		lines++ // the entry that was omitted, and the end of another planner's ejection
	}
	if !p.spendBudget(lines, to, urgent) && !(must && p.spendBudget(lines, to, last)) {
		return false
	}
	s.ejected = out
	for _, q := range to {
		q.ejected[s] = out
	}
	h.SetEjected(s.Server, out, !rush)
	return true
}

// changes lists the lines of a table to send, additions first so that none runs bare, by how urgent they are.
func (p *Policy) changes(t *table, lines *[required + 1][]func(Host) bool) {
	missing, all, live := 0.0, 0.0, 0
	var moved []*entry
	for _, r := range t.entries {
		if r.inUse() && !r.server.ejected {
			live++
		}
		missing, all = missing+math.Max(r.target-r.sent, 0), all+r.target
		if math.Abs(r.target-r.sent) > minWeightChange*r.sent {
			moved = append(moved, r)
		}
	}
	rested := !p.unsolved && (t.urgentAt == p.now || p.now-t.urgentAt >= urgentIntervalMs)
	slices.SortStableFunc(moved, func(a, b *entry) int { return cmp.Compare(b.target-b.sent, a.target-a.sent) })
	for _, r := range moved {
		need := deferrable
		switch {
		case live == 0 && r.target > 0 || len(t.proxies) == 0:
			need = required
		case r.target > 0 && (live == 1 || missing > maxMissingWeight*all),
			live > 1 && p.ramp(r.server) < 1 && r.server.usable() && r.overTarget():
			need = urgent
		}
		missing -= math.Max(r.target-r.sent, 0)
		if r.sent == 0 {
			live++
		}
		if all > 0 && (need == deferrable && t.due || need > deferrable && rested) { // never empty a table
			lines[need] = append(lines[need], func(h Host) bool { return p.send(h, r, need) })
		}
	}
	t.due = t.due && len(moved) > 0
}

func (p *Policy) send(h Host, r *entry, urgency int) bool {
	t, lines := r.table, 1.0
	if len(t.proxies) > 0 { // where it is withdrawn still, or another planner may have done so
		told := filter(t.proxies, func(q *proxy) bool {
			return r.sent == 0 && (q.inheritedEjections || q.ejected[r.server] && p.set.ReadmitByWeight) ||
				r.target > 0 && slices.ContainsFunc(q.unrestored, func(x restoration) bool { return x.server == r.server })
		})
		lines += float64(len(told)) / float64(len(t.proxies))
	}
	if r.target == r.sent || len(t.proxies) > 0 && !p.spendBudget(lines, t.proxies, urgency) {
		return false
	}
	if r.sent == 0 {
		r.server.addedAt = p.now
	}
	for _, q := range t.proxies {
		q.ejected[r.server] = r.server.ejected
	}
	if r.sent = r.target; urgency > deferrable {
		t.urgentAt = p.now
	}
	h.SetWeight(t.number, r.server.Server, r.target)
	return true
}

func (r *entry) inUse() bool { return r.sent > 0 }

func (r *entry) overTarget() bool { return r.sent > 1.5*r.target+weightTolerance }

// foreign is a proxy that may go by tables of another planner, as it is not bound to all of ours yet.
func (q *proxy) foreign() bool { return q.inheritedEjections && slices.Contains(q.bound, nil) }

// holders are the proxies that a withdrawal or its end concerns.
func (p *Policy) holders(s *server, out, rush bool) []*proxy {
	return filter(p.proxies, func(q *proxy) bool {
		return (out || q.ejected[s]) && slices.ContainsFunc(q.bound, func(t *table) bool {
			return t == nil && !rush ||
				t != nil && slices.ContainsFunc(s.entries, func(r *entry) bool { return r.table == t && r.inUse() })
		})
	})
}

// drains are the ejections that go before first tables in a rush: of the oldest notification, as both have its grace,
// and of later ones when theirs gets short. They go together, as few proxies hold each server, and one by one each
// would cost messages: tables wait until the channel has room for all, or little waits in it.
func (p *Policy) drains(rush bool) (drains []*server, fit bool) {
	if !rush {
		return nil, true
	}
	cost, to, oldest := 0.0, map[*proxy]bool{}, p.now
	for _, s := range p.servers {
		if s.State != Ready && p.now < s.notified+p.set.DrainGraceMs {
			oldest = min(oldest, s.notified)
		}
	}
	short := p.now - p.set.DrainGraceMs/2 + p.set.MaxPropagationMs // as in mask
	for _, s := range filter(p.servers, func(s *server) bool {
		return s.State != Ready && !s.ejected && s.notified <= max(oldest, short)
	}) {
		holders := p.holders(s, true, rush)
		for _, q := range holders {
			to[q] = true
		}
		drains, cost = append(drains, s), cost+float64(len(holders))
	}
	cost += p.set.MessageOverhead * float64(len(to))
	room := p.set.MaxBacklog*queueShare[drainEjection] - max(p.queue(), p.unsure())
	return drains, cost <= room || p.unsure() < p.set.MaxBacklog*queueShare[required]/2
}

// rush says that proxies with tables of other planners wait for ours while servers drain. Guards against telling
// each such proxy of each drain: that filled the channel, their tables waited, and the next drains cost as much.
func (p *Policy) rush() bool {
	foreign := filter(p.proxies, (*proxy).foreign)
	drains := func(s *server) bool { return s.State != Ready && p.now < s.notified+p.set.DrainGraceMs }
	if len(foreign) == 0 || !slices.ContainsFunc(p.servers, drains) {
		return false
	}
	for _, q := range foreign {
		for _, c := range p.clients[q.zone*p.parts : (q.zone+1)*p.parts] {
			if q.cohort < 0 || !slices.ContainsFunc(c.tables[q.cohort].entries, (*entry).inUse) {
				return false // there is no table to wait for
			}
		}
	}
	return true
}

// bind gives a proxy its first table. It takes the place of what another planner gave it, with all that drains:
// after many joins that costs less than an ejection of each server, and must not wait behind those. In a rush the
// light entries follow later.
func (p *Policy) bind(q *proxy, k int, rush bool) {
	c := p.clients[q.zone*p.parts+k]
	t := c.tables[q.cohort]
	p.pendingDecisions = append(p.pendingDecisions, func(h Host) bool {
		out := filter(t.entries, func(r *entry) bool { return r.server.ejected })
		back := filter(t.entries, func(r *entry) bool { return !r.server.ejected && q.ejected[r.server] })
		inherited := filter(t.entries, func(r *entry) bool {
			return q.inheritedEjections && r.inUse() && !r.server.ejected && !q.ejected[r.server]
		})
		restored := len(inherited) // with the table
		var omitted []*entry
		if rush && p.set.OmitsEntries {
			slices.SortStableFunc(inherited, func(a, b *entry) int { return cmp.Compare(b.sent, a.sent) })
			restored = min(restored, minEntries)
			omitted = omittedEntries(q, out, inherited)
		}
		cost := float64(1 + len(p.admission) + len(t.entries) + len(out) + len(back) + restored - len(omitted))
		cost -= float64(len(filter(omitted, func(r *entry) bool { return r.server.ejected }))) // not notified
		if !slices.ContainsFunc(t.entries, (*entry).inUse) || !p.spendBudget(cost, []*proxy{q}, required) {
			return false
		}
		q.bound[k], t.proxies = t, append(t.proxies, q)
		for _, r := range t.entries {
			q.ejected[r.server] = r.server.ejected
		}
		for _, r := range inherited {
			pending := restoration{server: r.server, entries: 1}
			if slices.Contains(omitted, r) {
				pending.entries++
			}
			q.unrestored = append(q.unrestored, pending)
		}
		q.paid += restored
		h.AssignTable(q.id, t.number, c.classes, serverNames(omitted))
		return true
	}, func(h Host) bool {
		most := q.paid
		q.paid = 0
		return p.restore(h, q, most, paid)
	})
}

// omittedEntries are those of a table that a proxy is not sent with its assignment: of ejected servers, and the
// light ones. Guards the channel when many proxies join during a release.
func omittedEntries(q *proxy, out, inherited []*entry) []*entry {
	omitted := filter(out, func(r *entry) bool { return r.inUse() && !q.ejected[r.server] })
	all, weight := sumBy(inherited, func(r *entry) float64 { return r.sent }), 0.0
	for n, r := range inherited {
		if n >= minEntries && weight >= essential*all {
			return append(omitted, inherited[n:]...)
		}
		weight += r.sent
	}
	if len(inherited) == 0 {
		return nil // a table is never sent empty
	}
	return omitted
}

// restore ends ejections that others may have ordered of servers in a proxy's tables, and sends entries that were
// omitted: of a few with the assignment, so that there is one to pick for certain, of the rest when there is room.
func (p *Policy) restore(h Host, q *proxy, most, urgency int) bool {
	restored := q.unrestored[:most]
	cost := sumBy(restored, func(r restoration) float64 { return r.entries })
	if most == 0 || urgency != paid && !p.spendBudget(cost, []*proxy{q}, urgency) {
		return false
	}
	servers := make([]string, 0, most)
	for _, r := range restored {
		servers = append(servers, r.server.Server)
	}
	q.unrestored = q.unrestored[most:]
	h.RestoreServers(q.id, servers)
	return true
}
