package platform

import (
	"strconv"
	"strings"

	"lichenpick/internal/weighttable"
)

// update is one part of a message to a proxy. What is empty is left out; a level is present where it is Set.
type update struct {
	groups       []string // none: all
	replace      bool
	rows         []weighttable.Entry
	level        weighttable.AdmissionRate
	drop, undrop []string
	stamp        int // a mark to be answered, where stamped
	stamped      bool
}

// lines counts what a part takes of the channel, without a message's head.
func (u update) lines() int {
	n := len(u.rows) + len(u.drop) + len(u.undrop)
	for _, one := range []bool{u.replace, u.stamped, u.level.Set} {
		if one {
			n++
		}
	}
	return n
}

// appendUpdates writes the parts of one message.
func appendUpdates(to []byte, parts []update) []byte {
	for n, u := range parts {
		to = append(to, sayUpdate...)
		to = appendList(to, " for=", u.groups, "+")
		if u.replace {
			to = append(to, " replace=1"...)
		}
		for k, r := range u.rows {
			if k == 0 {
				to = append(to, " rows="...)
			} else {
				to = append(to, ',')
			}
			to = append(append(to, r.Server...), ':')
			to = strconv.AppendFloat(to, r.Weight, 'f', -1, 64)
		}
		if u.level.Set {
			to = strconv.AppendFloat(append(to, " gate="...), u.level.Fraction, 'f', -1, 64)
			to = strconv.AppendInt(append(to, " again="...), int64(u.level.Retry), 10)
		}
		to = appendList(to, " drop=", u.drop, ",")
		to = appendList(to, " undrop=", u.undrop, ",")
		if u.stamped {
			to = strconv.AppendInt(append(to, " stamp="...), int64(u.stamp), 10)
		}
		if n < len(parts)-1 {
			to = append(to, " part=1"...)
		}
		to = append(to, "\r\n"...)
	}
	return to
}

func appendList(to []byte, field string, list []string, by string) []byte {
	if len(list) == 0 {
		return to
	}
	return append(append(to, field...), strings.Join(list, by)...)
}

// fits says whether a name can stand in lines.
func fits(name string) bool {
	return name != "" && len(name) <= 128 && !strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r >= 0x7f || strings.ContainsRune(",:+=", r) })
}
