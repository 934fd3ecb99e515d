package platform

import (
	"errors"
	"slices"
)

const (
	silenceTimeoutMs   = 6000.0 // ms without a message after which a proxy that owes an acknowledgement may be taken for gone
	progressIntervalMs = 200.0  // ms between notes of how far the channel has come
	maxChannelSlowdown = 8.0    // times that the channel may be slower than stated on some days, by the operators' page
	maxUnacknowledged  = 64     // requests that are known for a proxy; older ones are forgotten
)

var errUnknownAcknowledgement = errors.New("an acknowledgement that was not asked for")

// acknowledgementRequest is a request for an acknowledgement that a proxy was sent.
type acknowledgementRequest struct {
	number   int
	sentMs   float64
	position uint64 // of its update among all that went into the channel
}

// progressMark is a note that the channel had come as far as an update, as that was acknowledged.
type progressMark struct {
	atMs     float64
	position uint64
}

// channelProgress says how far the channel to the proxies has come. It is part of the core, and under its lock.
type channelProgress struct{ marks []progressMark } // ascending; the last one of silenceMs ago or more, and those since

// record notes that the update at a position has left the channel.
func (l *channelProgress) record(position uint64, nowMs float64) {
	if count := len(l.marks); count > 0 {
		last := l.marks[count-1]
		if position <= last.position || nowMs < last.atMs+progressIntervalMs {
			return
		}
	}
	l.marks = append(l.marks, progressMark{nowMs, position})
}

// trim forgets departures that are older than the last one at or before a time.
func (l *channelProgress) trim(beforeMs float64) {
	for len(l.marks) > 1 && l.marks[1].atMs <= beforeMs {
		l.marks = l.marks[1:]
	}
}

// passed says whether an update behind a position had left the channel by a time; trim was called with that time.
func (l *channelProgress) passed(position uint64, byMs float64) bool {
	return len(l.marks) > 0 && l.marks[0].atMs <= byMs && l.marks[0].position > position
}

// acknowledge takes in a proxy's acknowledgement of an update, which holds for all updates before it.
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

// expectAcknowledgement notes that the update about to be sent asks for an acknowledgement.
func (c *Core) expectAcknowledgement(p *proxy, number int) {
	p.unacknowledged = append(p.unacknowledged, acknowledgementRequest{number, c.nowMs, c.Counts.Updates})
	if len(p.unacknowledged) > maxUnacknowledged {
		p.unacknowledged = slices.Delete(p.unacknowledged, 0, 1)
	}
}

// deactivateSilent finds a proxy that acknowledges nothing and says nothing else, takes it for gone until it speaks again,
// and says whether there was one.
//
// Time alone shows nothing, as an update may wait in the channel for longer than any time that a proxy needs: in a fleet
// that joined at once, and with a slow channel, proxies were taken for gone whose first table had not left, and were sent
// it again when they spoke. A later update that another proxy has acknowledged shows that the channel is past this one's.
// Where nobody acknowledges, the greatest backlog bounds the time.
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
