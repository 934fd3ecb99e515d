package settings

import (
	"fmt"
	"math"
	"net/netip"
	"strconv"

	"google.golang.org/protobuf/reflect/protoreflect"

	"lichenpick/proto/options"
)

// maxTextBytes bounds a text for which the .proto file states no limit.
const maxTextBytes = 1024

// checkValue checks one value, be it a field's or an entry's.
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
			return newProblem(at, "holds %d, which is none of its names", value.Enum())
		}
	}
	return nil
}

// checkText checks a text by its kind. An empty one is as if left out.
func checkText(text string, check *options.Check, at path) *problem {
	most := maxTextBytes
	if check.GetMost() > 0 && check.GetKind() == options.Kind_PLAIN { // of other kinds it is the number of entries
		most = int(check.GetMost())
	}
	if len(text) > most {
		return newProblem(at, "has %d characters; at most %d", len(text), most)
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
			return newProblem(at, "holds %q; an IP address and port are wanted, such as \"127.0.0.1:7100\"", text)
		}
	case options.Kind_PREFIX:
		if _, err := netip.ParsePrefix(text); err != nil {
			return invalidPrefix(text, at)
		}
	}
	return nil
}

func invalidPrefix(text string, at path) *problem {
	return newProblem(at, "holds %q; an IP prefix is wanted, such as \"10.1.0.0/16\"", text)
}

func checkDuration(text string, check *options.Check, at path) *problem {
	ms, err := parseMilliseconds(text)
	if err != nil {
		return newProblem(at, "holds %q; a time with its unit is wanted, such as \"250ms\" or \"3s\"%s",
			text, describeRange(check, formatMilliseconds))
	}
	return checkRange(ms, strconv.Quote(text), check, at, formatMilliseconds)
}

func checkRate(text string, check *options.Check, at path) *problem {
	perSecond, err := parsePerSecond(text)
	if err != nil {
		return newProblem(at, "holds %q; a rate with its unit is wanted, such as \"500/s\" or \"90/m\"%s",
			text, describeRange(check, formatPerSecond))
	}
	return checkRange(perSecond, strconv.Quote(text), check, at, formatPerSecond)
}

// checkRange checks a number against its limits. It rejects infinities and NaN, which compares with no limit. Shown is the
// value as the file has it; limits are written by format.
func checkRange(number float64, valueText string, check *options.Check, at path, format func(float64) string) *problem {
	outOfRange := math.IsNaN(number) || math.IsInf(number, 0)
	if check != nil {
		outOfRange = outOfRange || check.Min != nil && number < check.GetMin()
		outOfRange = outOfRange || check.Max != nil && number > check.GetMax()
	}
	if outOfRange {
		return newProblem(at, "holds %s, out of its range%s", valueText, describeRange(check, format))
	}
	return nil
}

// describeRange says what is allowed, to be appended to a problem; empty if there are no limits.
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
