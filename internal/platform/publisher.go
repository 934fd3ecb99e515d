package platform

import (
	"slices"

	"lichenpick/internal/weighttable"
)

// pendingUpdate is what an evaluation has decided for a proxy so far. Weights and admission rates are read when the update
// is written, since they may change again until then.
type pendingUpdate struct {
	assigned               []*weighttable.Table[*proxy] // tables to be sent complete
	changed                []changedEntry
	admission              []bool // by traffic class: whether its admission rate is to be sent
	eject, readmit         []string
	acknowledgement        int // number that the proxy must acknowledge, if requestAcknowledgement is set
	requestAcknowledgement bool
}

// changedEntry names an entry of a table that has changed.
type changedEntry struct {
	table  *weighttable.Table[*proxy]
	server string
}

// publisher holds the tables and the changes that each proxy has yet to be sent. It belongs to the core and is guarded by
// the core's lock.
type publisher struct {
	classes   []string       // names of the traffic classes
	endpoints *endpointTable // the core's endpoints, with the proxies that were notified of ejections or had entries omitted
	registry  *weighttable.Registry[*proxy]
	pending   []*proxy // proxies with a pending update
	channel   channelEstimate
}

func newPublisher(classes []string, entriesPerSecond float64) publisher {
	return publisher{
		classes:  classes,
		registry: weighttable.NewRegistry[*proxy](len(classes)),
		channel:  channelEstimate{entriesPerSecond: entriesPerSecond},
	}
}

// pendingUpdateFor returns the pending update of a proxy, and creates it if there is none.
func (b *publisher) pendingUpdateFor(p *proxy) *pendingUpdate {
	if p.pending == nil {
		p.pending = &pendingUpdate{admission: make([]bool, len(b.registry.Admission))}
		b.pending = append(b.pending, p)
	}
	return p.pending
}

// remove removes a proxy from its tables, and discards its pending update.
func (b *publisher) remove(p *proxy) {
	b.registry.RemoveProxy(p, p.tables)
	b.pending = without(b.pending, p)
	p.pending = nil
}

// setEjected adds the ejection or readmission of a server to the pending update of a proxy.
func (b *publisher) setEjected(p *proxy, e *endpoint, ejected bool) {
	update := b.pendingUpdateFor(p)
	update.eject = without(update.eject, e.name)
	update.readmit = without(update.readmit, e.name)
	if ejected {
		update.eject = append(update.eject, e.name)
	} else {
		update.readmit = append(update.readmit, e.name)
	}
	e.notified.set(p.id, ejected)
	e.possiblyNotified.set(p.id, false)
}

// syncEjection is called when a proxy is sent an entry of a server. It notifies the proxy whether the server is ejected, if
// the proxy may have been notified of the opposite.
func (b *publisher) syncEjection(p *proxy, e *endpoint) {
	if e == nil {
		return
	}
	ejected := b.registry.Ejected[e.name]
	if ejected != e.notified.contains(p.id) || e.possiblyNotified.contains(p.id) {
		b.setEjected(p, e, ejected)
	}
}

// parts builds the update of a proxy: its tables, then the admission rates. The first part also has the servers to eject or
// readmit, and the last part the request for an acknowledgement.
func (b *publisher) parts(p *proxy) []updatePart {
	update := p.pending
	parts := b.tableParts(p, update)
	if len(update.eject)+len(update.readmit) > 0 {
		if len(parts) == 0 {
			parts = append(parts, updatePart{})
		}
		parts[0].eject = update.eject
		parts[0].readmit = update.readmit
	}
	parts = b.appendAdmission(parts, update)
	if !update.requestAcknowledgement {
		return parts
	}
	if len(parts) == 0 {
		parts = append(parts, updatePart{})
	}
	last := &parts[len(parts)-1]
	last.acknowledge = true
	last.acknowledgement = update.acknowledgement
	return parts
}

// tableParts returns a part for each table of a proxy that was assigned or has changed.
func (b *publisher) tableParts(p *proxy, update *pendingUpdate) []updatePart {
	var parts []updatePart
	for class, table := range p.tables {
		if table == nil || slices.Contains(p.tables[:class], table) {
			continue
		}
		part := updatePart{replace: slices.Contains(update.assigned, table)}
		if part.replace {
			part.entries = b.entriesFor(p, table)
		} else {
			part.entries = update.changedEntries(table)
		}
		if len(part.entries) > 0 || part.replace {
			part.classes = b.classNames(func(other int) bool { return p.tables[other] == table })
			parts = append(parts, part)
		}
	}
	return parts
}

// entriesFor returns the entries that a proxy is sent when a table is assigned to it: all but the omitted ones.
func (b *publisher) entriesFor(p *proxy, table *weighttable.Table[*proxy]) []weighttable.Entry {
	var entries []weighttable.Entry
	for _, entry := range table.Entries {
		e := b.endpoints.byName[entry.Server]
		if e == nil || !e.omitted.contains(p.id) {
			entries = append(entries, entry)
		}
	}
	return entries
}

// sendOmitted adds the entries of a server, which were omitted at a proxy, to the pending update of the proxy.
func (b *publisher) sendOmitted(p *proxy, e *endpoint) {
	e.omitted.set(p.id, false)
	for class, table := range p.tables {
		if table == nil || slices.Contains(p.tables[:class], table) || table.Index(e.name) < 0 {
			continue
		}
		update := b.pendingUpdateFor(p)
		update.changed = append(update.changed, changedEntry{table, e.name})
		b.syncEjection(p, e)
	}
}

// changedEntries returns the current entries of those servers of a table whose weights have changed, each once.
func (u *pendingUpdate) changedEntries(table *weighttable.Table[*proxy]) []weighttable.Entry {
	var entries []weighttable.Entry
	for index, change := range u.changed {
		if change.table == table && !slices.Contains(u.changed[:index], change) {
			entries = append(entries, weighttable.Entry{Server: change.server, Weight: table.Weight(change.server)})
		}
	}
	return entries
}

// appendAdmission appends a part for each admission rate to be sent. Traffic classes with equal rates share a part.
func (b *publisher) appendAdmission(parts []updatePart, update *pendingUpdate) []updatePart {
	rates := b.registry.Admission
	for class, rate := range rates {
		hasSameRate := func(other int) bool { return update.admission[other] && rates[other] == rate }
		if !hasSameRate(class) {
			continue
		}
		first := 0
		for !hasSameRate(first) {
			first++
		}
		if first == class {
			parts = append(parts, updatePart{classes: b.classNames(hasSameRate), admission: rate})
		}
	}
	return parts
}

// classNames returns the names of the traffic classes for which matches returns true, or nil if it returns true for all.
func (b *publisher) classNames(matches func(class int) bool) []string {
	var names []string
	for class, name := range b.classes {
		if matches(class) {
			names = append(names, name)
		}
	}
	if len(names) == len(b.classes) {
		return nil
	}
	return names
}

// publish sends a proxy its pending update as one message, unless the update is empty.
func (c *Core) publish(host Host, p *proxy) {
	parts := c.publisher.parts(p)
	update := p.pending
	p.pending = nil
	if len(parts) == 0 {
		return
	}
	if update.requestAcknowledgement {
		c.expectAcknowledgement(p, update.acknowledgement)
	}
	p.recordSent(c.nowMs, c.settings.Policy.MessageWindowMs)
	c.buffer = appendUpdate(c.buffer[:0], parts)
	c.countUpdate(parts, len(c.buffer))
	host.Send(p.connection, c.buffer)
}

// recordSent records the time of an update, and drops times that no longer count for the limit of messages.
func (p *proxy) recordSent(nowMs, windowMs float64) {
	windowStartMs := nowMs - windowMs
	if len(p.updateTimesMs) > 0 && p.updateTimesMs[0] < windowStartMs {
		p.updateTimesMs = slices.DeleteFunc(p.updateTimesMs, func(atMs float64) bool { return atMs < windowStartMs })
	}
	p.updateTimesMs = append(p.updateTimesMs, nowMs)
}

// countUpdate adds an update to the counts and to the estimated backlog of the channel.
func (c *Core) countUpdate(parts []updatePart, size int) {
	entries := 0
	for index := range parts {
		entries += parts[index].entryCount()
	}
	backlog := c.publisher.channel.add(float64(entries), c.settings.Policy.MessageOverhead, c.nowMs)
	c.Counts.MaxBacklog = max(c.Counts.MaxBacklog, backlog)
	c.Counts.Updates++
	c.Counts.Entries += uint64(entries)
	c.Counts.Bytes += uint64(size)
}
