package platform

import (
	"strconv"
	"strings"

	"lichenpick/internal/weighttable"
)

// Kinds of messages that a planner sends.
const (
	wirePong    = "pong"
	wireRefused = "refused"
	wireUpdate  = "update"
)

const maxNameBytes = 128 // limit of the bytes of the name of a server, zone or traffic class

// updatePart is one line of an update. A proxy applies all parts of a message together. Empty fields are not written, and the
// admission rate is only written if its field Set is true.
type updatePart struct {
	classes         []string            // traffic classes that the part applies to; if empty, all classes
	replace         bool                // the entries are the complete table, and the proxy forgets its admission rates
	entries         []weighttable.Entry // entries to set; weight 0 removes the server
	admission       weighttable.AdmissionRate
	eject, readmit  []string // names of servers
	acknowledgement int      // number that the proxy must acknowledge, if acknowledge is set
	acknowledge     bool
}

// entryCount returns the number of entries that the channel to the proxies counts for a part, without the overhead of its
// message.
func (u *updatePart) entryCount() int {
	count := len(u.entries) + len(u.eject) + len(u.readmit)
	for _, present := range []bool{u.replace, u.acknowledge, u.admission.Set} {
		if present {
			count++
		}
	}
	return count
}

// appendUpdate appends the parts of one message.
func appendUpdate(to []byte, parts []updatePart) []byte {
	for index := range parts {
		to = appendPart(to, &parts[index])
		if index < len(parts)-1 {
			to = append(to, " part=1"...)
		}
		to = append(to, lineEnd...)
	}
	return to
}

func appendPart(to []byte, part *updatePart) []byte {
	to = append(to, wireUpdate...)
	to = appendList(to, " for=", part.classes, "+")
	if part.replace {
		to = append(to, " replace=1"...)
	}
	to = appendEntries(to, part.entries)
	if part.admission.Set {
		to = append(to, " gate="...)
		to = strconv.AppendFloat(to, part.admission.Fraction, 'f', -1, 64)
		to = append(to, " again="...)
		to = strconv.AppendInt(to, int64(part.admission.Retry), 10)
	}
	to = appendList(to, " drop=", part.eject, ",")
	to = appendList(to, " undrop=", part.readmit, ",")
	if part.acknowledge {
		to = append(to, " stamp="...)
		to = strconv.AppendInt(to, int64(part.acknowledgement), 10)
	}
	return to
}

func appendEntries(to []byte, entries []weighttable.Entry) []byte {
	for index, entry := range entries {
		if index == 0 {
			to = append(to, " rows="...)
		} else {
			to = append(to, ',')
		}
		to = append(to, entry.Server...)
		to = append(to, ':')
		to = strconv.AppendFloat(to, entry.Weight, 'f', -1, 64)
	}
	return to
}

func appendList(to []byte, name string, list []string, separator string) []byte {
	if len(list) == 0 {
		return to
	}
	to = append(to, name...)
	return append(to, strings.Join(list, separator)...)
}

// appendPongs appends the answers to a number of pings.
func appendPongs(to []byte, count int) []byte {
	for range count {
		to = append(to, wirePong+lineEnd...)
	}
	return to
}

// appendRefusal appends the last message to a connection that is closed before it has joined.
func appendRefusal(to []byte) []byte { return append(to, wireRefused+lineEnd...) }

// isValidName reports whether a name can be part of a message.
func isValidName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		return r <= ' ' || r >= 0x7f || strings.ContainsRune(",:+=", r)
	})
}
