package platform

import (
	"errors"
	"slices"
)

const (
	silenceTimeoutMs   = 6000.0 // ms without a message after which a proxy may be deactivated if its acknowledgement is pending
	progressIntervalMs = 200.0  // least ms between two progress marks
	maxChannelSlowdown = 8.0    // factor by which the channel is slower than stated on some days, by the operators' page
	maxUnacknowledged  = 64     // acknowledgement requests remembered for each proxy; older ones are forgotten
)

var errUnknownAcknowledgement = errors.New("acknowledgement of a number that was not requested or is forgotten")

// acknowledgementRequest is a request for an acknowledgement, sent to a proxy with an update.
type acknowledgementRequest struct {
	number   int
	sentMs   float64
	position uint64 // number of updates sent to all proxies before the one with the request
}

// progressMark records the time at which a proxy acknowledged the update at a position. The update had left the channel by
// then.
type progressMark struct {
	atMs     float64
	position uint64
}

// channelProgress tracks how far the channel to the proxies has progressed through the updates. It belongs to the core and
// is guarded by the core's lock.
type channelProgress struct {
	marks []progressMark // ascending; the last mark that is at least silenceTimeoutMs old, and all later marks
}

// record notes that the update at a position has left the channel. It ignores a position that is not beyond the last mark,
// and any position less than progressIntervalMs after the last mark.
func (l *channelProgress) record(position uint64, nowMs float64) {
	if count := len(l.marks); count > 0 {
		last := l.marks[count-1]
		if position <= last.position || nowMs < last.atMs+progressIntervalMs {
			return
		}
	}
	l.marks = append(l.marks, progressMark{nowMs, position})
}

// trim discards the marks before the last one at or before a time.
func (l *channelProgress) trim(beforeMs float64) {
	for len(l.marks) > 1 && l.marks[1].atMs <= beforeMs {
		l.marks = l.marks[1:]
	}
}

// passed reports whether, by a time, the channel had sent an update that came after the one at a position. trim must have
// been called with that time.
func (l *channelProgress) passed(position uint64, byMs float64) bool {
	return len(l.marks) > 0 && l.marks[0].atMs <= byMs && l.marks[0].position > position
}

// acknowledge handles a proxy's acknowledgement of an update, which covers all earlier updates as well.
func (c *Core) acknowledge(p *proxy, m *message) error {
	acknowledgement, err := m.acknowledgement()
	if err != nil {
		return err
	}
	if acknowledgement.ProxyID != p.id {
		return errOtherProxy
	}
	index := slices.IndexFunc(p.unacknowledged, func(request acknowledgementRequest) bool {
		return request.number == acknowledgement.Number
	})
	if index < 0 {
		return errUnknownAcknowledgement
	}
	c.progress.record(p.unacknowledged[index].position, c.nowMs)
	p.unacknowledged = slices.Delete(p.unacknowledged, 0, index+1)
	c.Counts.Acknowledgements++
	c.policy.Acknowledge(p.id, acknowledgement.Number, acknowledgement.PropagationMs)
	return nil
}

// expectAcknowledgement records that the update about to be sent to a proxy requests the acknowledgement with this number.
func (c *Core) expectAcknowledgement(p *proxy, number int) {
	p.unacknowledged = append(p.unacknowledged, acknowledgementRequest{number, c.nowMs, c.Counts.Updates})
	if len(p.unacknowledged) > maxUnacknowledged {
		p.unacknowledged = slices.Delete(p.unacknowledged, 0, 1)
	}
}

// deactivateSilent deactivates a proxy that neither acknowledges updates nor sends anything else, until the proxy sends a
// message again. It reports whether there was such a proxy.
//
// Elapsed time alone does not show that a proxy is silent, because an update may wait in the channel for longer than the
// timeout: with a slow channel and a fleet that joined at once, proxies were deactivated before their first table had left
// the channel, and were sent the table again at their next message. Therefore another proxy must also have acknowledged a
// later update, which shows that the update to the silent proxy has left the channel. If no proxy acknowledges anything, the
// time limit is the time that the largest backlog takes in the slowest channel.
func (c *Core) deactivateSilent() bool {
	silentSinceMs := c.nowMs - silenceTimeoutMs
	c.progress.trim(silentSinceMs)
	limits := c.settings.Policy
	longestMs := silenceTimeoutMs + maxChannelSlowdown*limits.MaxBacklog/limits.EntriesPerSecond*millisecondsPerSecond
	for _, p := range c.proxies.joined {
		if p.inactive || len(p.unacknowledged) == 0 || c.nowMs-p.connection.lastMessageMs <= silenceTimeoutMs {
			continue
		}
		oldest := p.unacknowledged[0]
		if c.progress.passed(oldest.position, silentSinceMs) || c.nowMs-oldest.sentMs > longestMs {
			c.deactivate(p)
			p.inactive = true
			c.Counts.SilentProxies++
			return true
		}
	}
	return false
}
