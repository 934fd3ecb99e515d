package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenpick/proto/options"
)

// maxTextBytes is the maximum length of a string for which the .proto file states no limit.
const maxTextBytes = 1024

// checkValue checks one value: the value of a singular field, or an entry of a repeated field.
func checkValue(value protoreflect.Value, field protoreflect.FieldDescriptor, check *options.Check, at path) *problem {
	switch field.Kind() {
	case protoreflect.StringKind:
		return checkText(value.String(), check, at)
	case protoreflect.DoubleKind:
		return checkRange(value.Float(), fmt.Sprint(value.Float()), check, at, formatNumber)
	case protoreflect.Uint32Kind, protoreflect.Uint64Kind:
		return checkRange(float64(value.Uint()), fmt.Sprint(value.Uint()), check, at, formatNumber)
	case protoreflect.EnumKind:
		if field.Enum().Values().ByNumber(value.Enum()) == nil {
			return newProblem(at, "is %d, which is not a value of the enumeration", value.Enum())
		}
	}
	return nil
}

// checkText checks a string by its kind. An empty string counts as omitted.
func checkText(text string, check *options.Check, at path) *problem {
	most := maxTextBytes
	if check.GetMost() > 0 && check.GetKind() == options.Kind_PLAIN { // for other kinds, GetMost limits the number of entries
		most = int(check.GetMost())
	}
	if len(text) > most {
		return newProblem(at, "has %d bytes; the maximum is %d", len(text), most)
	}
	if text == "" {
		if check.GetRequired() {
			return newProblem(at, "is empty")
		}
		return nil
	}
	switch check.GetKind() {
	case options.Kind_DURATION:
		return checkDuration(text, check, at)
	case options.Kind_RATE:
		return checkRate(text, check, at)
	case options.Kind_ADDRESS:
		if _, err := netip.ParseAddrPort(text); err != nil {
			return newProblem(at, "is %q; want an IP address and port, such as \"127.0.0.1:7100\"", text)
		}
	case options.Kind_PREFIX:
		if _, err := netip.ParsePrefix(text); err != nil {
			return invalidPrefix(text, at)
		}
	}
	return nil
}

func invalidPrefix(text string, at path) *problem {
	return newProblem(at, "is %q; want an IP prefix, such as \"10.1.0.0/16\"", text)
}

func checkDuration(text string, check *options.Check, at path) *problem {
	ms, err := parseMilliseconds(text)
	if err != nil {
		return newProblem(at, "is %q; want a duration with a unit, such as \"250ms\" or \"3s\"%s",
			text, describeRange(check, formatMilliseconds))
	}
	return checkRange(ms, strconv.Quote(text), check, at, formatMilliseconds)
}

func checkRate(text string, check *options.Check, at path) *problem {
	perSecond, err := parsePerSecond(text)
	if err != nil {
		return newProblem(at, "is %q; want a rate with a unit, such as \"500/s\" or \"90/m\"%s",
			text, describeRange(check, formatPerSecond))
	}
	return checkRange(perSecond, strconv.Quote(text), check, at, formatPerSecond)
}

// checkRange checks a number against the limits of its check option, and rejects infinities and NaN. The returned problem shows
// valueText, which is the value as written in the file, and the limits as formatted by the function format.
func checkRange(number float64, valueText string, check *options.Check, at path, format func(float64) string) *problem {
	outOfRange := math.IsNaN(number) || math.IsInf(number, 0)
	if check != nil {
		outOfRange = outOfRange || check.Min != nil && number < check.GetMin()
		outOfRange = outOfRange || check.Max != nil && number > check.GetMax()
	}
	if outOfRange {
		return newProblem(at, "is %s, out of range%s", valueText, describeRange(check, format))
	}
	return nil
}

// describeRange returns a text with the allowed range, to be appended to a problem's text. The returned text is empty if there
// are no limits.
func describeRange(check *options.Check, format func(float64) string) string {
	if check == nil {
		return ""
	}
	switch {
	case check.Min != nil && check.Max != nil:
		return fmt.Sprintf("; from %s to %s", format(check.GetMin()), format(check.GetMax()))
	case check.Min != nil:
		return fmt.Sprintf("; at least %s", format(check.GetMin()))
	case check.Max != nil:
		return fmt.Sprintf("; at most %s", format(check.GetMax()))
	}
	return ""
}
