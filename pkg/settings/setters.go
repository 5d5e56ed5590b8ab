package settings

import (
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sassafrasshunt/sassafrasshunt/pkg/core"
)

// toDomain converts the name of a failure domain.
func toDomain(v string) core.Domain {
	return core.Domain(v)
}

// Each function below returns a setter that stores a decoded TOML value. The setter
// returns the reason when the value is invalid, or "".

// optionalString accepts any string.
func optionalString(assign func(*Settings, string)) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(string)
		if !ok {
			return "must be a string"
		}
		assign(s, value)
		return ""
	}
}

// requiredString accepts a string that is not empty.
func requiredString(assign func(*Settings, string)) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		if value, ok := v.(string); ok && value == "" {
			return "must not be empty"
		}
		return optionalString(assign)(s, v)
	}
}

// hostPort accepts an address of the form IP:port.
func hostPort(field func(*Settings) *string) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(string)
		if !ok {
			return "must be a string"
		}
		if _, err := netip.ParseAddrPort(value); err != nil {
			return "must be IP:port"
		}
		*field(s) = value
		return ""
	}
}

// hostPortList accepts a list of addresses of the form IP:port.
func hostPortList(field func(*Settings) *[]string) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		list, ok := v.([]any)
		if !ok {
			return "must be a list of IP:port"
		}
		for _, element := range list {
			var parsed string
			if reason := hostPort(func(*Settings) *string { return &parsed })(s, element); reason != "" {
				return "each element " + reason
			}
			*field(s) = append(*field(s), parsed)
		}
		return ""
	}
}

// oneOf accepts one of the allowed strings.
func oneOf(allowed []string, field func(*Settings) *string) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(string)
		if !ok || !slices.Contains(allowed, value) {
			return "must be one of " + strings.Join(allowed, ", ")
		}
		*field(s) = value
		return ""
	}
}

// duration accepts a Go duration from low to high.
func duration(low, high time.Duration, field func(*Settings) *time.Duration) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(string)
		if !ok {
			return "must be a string such as \"600ms\""
		}
		d, err := time.ParseDuration(value)
		if err != nil || d < low || d > high {
			return fmt.Sprintf("must be a duration from %s to %s", low, high)
		}
		*field(s) = d
		return ""
	}
}

// count accepts an integer from low to high.
func count(low, high int, field func(*Settings) *int) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(int64)
		if !ok || value < int64(low) || value > int64(high) {
			return fmt.Sprintf("must be a whole number from %d to %d", low, high)
		}
		*field(s) = int(value)
		return ""
	}
}

// fraction accepts a number from 0 to 1.
func fraction(field func(*Settings) *float64) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(float64)
		if !ok || !(value >= 0 && value <= 1) {
			return "must be a number from 0.0 to 1.0"
		}
		*field(s) = value
		return ""
	}
}

// boolean accepts true or false.
func boolean(field func(*Settings) *bool) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(bool)
		if !ok {
			return "must be true or false"
		}
		*field(s) = value
		return ""
	}
}

// defaultValue converts the default of a field to the type that the TOML decoder
// produces for its unit.
func defaultValue(f *Field) any {
	switch f.Unit {
	case "count", "bytes", "items":
		n, _ := strconv.ParseInt(f.Default, 10, 64)
		return n
	case "fraction":
		x, _ := strconv.ParseFloat(f.Default, 64)
		return x
	case "bool":
		return f.Default == "true"
	case "list of IP:port":
		return []any{}
	}
	return f.Default
}
