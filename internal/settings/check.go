package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenpick/proto/options"
)

// generalMost is the most characters of a text that states no limit of its own.
const generalMost = 1024

// checkMessage checks a message and all below it, and fills in what is left out.
func checkMessage(m protoreflect.Message, path []step) *fault {
	fields := m.Descriptor().Fields()
	for i := range fields.Len() {
		fd := fields.Get(i)
		if bad := checkField(m, fd, path); bad != nil {
			return bad
		}
	}
	return nil
}

func rules(fd protoreflect.FieldDescriptor) *options.Check {
	c, _ := proto.GetExtension(fd.Options(), options.E_Check).(*options.Check)
	return c
}

func checkField(m protoreflect.Message, fd protoreflect.FieldDescriptor, path []step) *fault {
	c, name := rules(fd), string(fd.Name())
	switch {
	case fd.IsList():
		list := m.Get(fd).List()
		if c.GetRequired() && list.Len() == 0 {
			return wrong(field(path, name), "is missing; at least one is needed")
		}
		if most := int(c.GetMost()); most > 0 && list.Len() > most {
			return wrong(field(path, name), "has %d entries; at most %d", list.Len(), most)
		}
		for i := range list.Len() {
			at := entry(path, name, i)
			if fd.Message() != nil {
				if bad := checkMessage(list.Get(i).Message(), at); bad != nil {
					return bad
				}
			} else if bad := checkValue(list.Get(i), fd, c, at); bad != nil {
				return bad
			}
		}
		return nil
	case fd.Message() != nil:
		at := field(path, name)
		if !m.Has(fd) {
			if c.GetRequired() {
				return wrong(at, "is missing")
			}
			if fd.ContainingOneof() != nil || !filled(fd.Message()) {
				return nil
			}
		}
		return checkMessage(m.Mutable(fd).Message(), at)
	}
	at := field(path, name)
	if !m.Has(fd) {
		if c.GetRequired() {
			return wrong(at, "is missing")
		}
		if c.GetOtherwise() == "" {
			return nil
		}
		v, err := value(fd, c.GetOtherwise())
		if err != nil {
			panic(fmt.Sprintf("default of %s: %v", fd.FullName(), err))
		}
		m.Set(fd, v)
	}
	return checkValue(m.Get(fd), fd, c, at)
}

// filled says whether a message that is left out has defaults worth filling in: all its fields may be left out.
func filled(md protoreflect.MessageDescriptor) bool {
	for i := range md.Fields().Len() {
		if rules(md.Fields().Get(i)).GetRequired() {
			return false
		}
	}
	return true
}

// value reads a default as it stands in the .proto file.
func value(fd protoreflect.FieldDescriptor, text string) (protoreflect.Value, error) {
	switch fd.Kind() {
	case protoreflect.StringKind:
		return protoreflect.ValueOfString(text), nil
	case protoreflect.DoubleKind:
		x, err := strconv.ParseFloat(text, 64)
		return protoreflect.ValueOfFloat64(x), err
	case protoreflect.Uint32Kind:
		x, err := strconv.ParseUint(text, 10, 32)
		return protoreflect.ValueOfUint32(uint32(x)), err
	case protoreflect.Uint64Kind:
		x, err := strconv.ParseUint(text, 10, 64)
		return protoreflect.ValueOfUint64(x), err
	}
	return protoreflect.Value{}, fmt.Errorf("kind %s takes no default", fd.Kind())
}

func checkValue(v protoreflect.Value, fd protoreflect.FieldDescriptor, c *options.Check, at []step) *fault {
	switch fd.Kind() {
	case protoreflect.StringKind:
		return checkText(v.String(), c, at)
	case protoreflect.DoubleKind:
		return within(v.Float(), fmt.Sprint(v.Float()), c, at, plainNumber)
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		return within(float64(v.Uint()), fmt.Sprint(v.Uint()), c, at, plainNumber)
	case protoreflect.EnumKind:
		if fd.Enum().Values().ByNumber(v.Enum()) == nil {
			return wrong(at, "holds %d, which is none of its names", v.Enum())
		}
	}
	return nil
}

func checkText(text string, c *options.Check, at []step) *fault {
	most := generalMost
	if c.GetMost() > 0 && c.GetKind() == options.Kind_PLAIN {
		most = int(c.GetMost())
	}
	if len(text) > most {
		return wrong(at, "has %d characters; at most %d", len(text), most)
	}
	if text == "" {
		if c.GetRequired() {
			return wrong(at, "is empty")
		}
		return nil
	}
	switch c.GetKind() {
	case options.Kind_DURATION:
		ms, err := parseMs(text)
		if err != nil {
			return wrong(at, "holds %q; a time with its unit is wanted, such as \"250ms\" or \"3s\"%s", text, span(c, isDuration))
		}
		return within(ms, strconv.Quote(text), c, at, isDuration)
	case options.Kind_RATE:
		perS, err := parseRate(text)
		if err != nil {
			return wrong(at, "holds %q; a rate with its unit is wanted, such as \"500/s\" or \"90/m\"%s", text, span(c, asRate))
		}
		return within(perS, strconv.Quote(text), c, at, asRate)
	case options.Kind_ADDRESS:
		if _, err := netip.ParseAddrPort(text); err != nil {
			return wrong(at, "holds %q; an IP address and port are wanted, such as \"127.0.0.1:7100\"", text)
		}
	case options.Kind_PREFIX:
		if _, err := netip.ParsePrefix(text); err != nil {
			return wrong(at, "holds %q; an IP prefix is wanted, such as \"10.1.0.0/16\"", text)
		}
	}
	return nil
}

func plainNumber(x float64) string { return strconv.FormatFloat(x, 'g', 10, 64) }

func isDuration(ms float64) string {
	return time.Duration(ms * float64(time.Millisecond)).String()
}

func asRate(perS float64) string { return plainNumber(perS) + "/s" }

func span(c *options.Check, say func(float64) string) string {
	switch {
	case c.GetMin() != 0 && c.Max != nil || c.Min != nil && c.Max != nil:
		return fmt.Sprintf("; from %s to %s", say(c.GetMin()), say(c.GetMax()))
	case c.Min != nil:
		return fmt.Sprintf("; at least %s", say(c.GetMin()))
	case c.Max != nil:
		return fmt.Sprintf("; at most %s", say(c.GetMax()))
	}
	return ""
}

func within(x float64, shown string, c *options.Check, at []step, say func(float64) string) *fault {
	if math.IsNaN(x) || math.IsInf(x, 0) || c != nil && (c.Min != nil && x < c.GetMin() || c.Max != nil && x > c.GetMax()) {
		return wrong(at, "holds %s, out of its range%s", shown, span(c, say))
	}
	return nil
}

func parseMs(text string) (float64, error) {
	if !strings.ContainsAny(text, "nuµmsh") { // a bare 0 has no unit
		return 0, fmt.Errorf("no unit")
	}
	d, err := time.ParseDuration(text)
	return float64(d) / float64(time.Millisecond), err
}

func parseRate(text string) (float64, error) {
	number, unit, ok := strings.Cut(text, "/")
	spans := map[string]float64{"s": 1, "m": 60, "h": 3600}
	x, err := strconv.ParseFloat(strings.TrimSpace(number), 64)
	if !ok || err != nil || spans[unit] == 0 || math.IsNaN(x) {
		return 0, fmt.Errorf("no rate")
	}
	return x / spans[unit], nil
}

// Milliseconds gives a checked time in milliseconds; empty is 0.
func Milliseconds(text string) float64 {
	ms, _ := parseMs(text)
	return ms
}

// Duration gives a checked time; empty is 0.
func Duration(text string) time.Duration {
	d, _ := time.ParseDuration(text)
	return d
}

// PerSecond gives a checked rate per second; empty is 0.
func PerSecond(text string) float64 {
	x, _ := parseRate(text)
	return x
}
