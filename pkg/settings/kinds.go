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

func domain(v string) core.Domain {
	return core.Domain(v)
}

// Each function below returns a setter that stores a decoded TOML value and
// returns the reason when the value does not fit, or "".

func optional(store func(*Settings, string)) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(string)
		if !ok {
			return "must be a string"
		}
		store(s, value)
		return ""
	}
}

func text(store func(*Settings, string)) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		if value, ok := v.(string); ok && value == "" {
			return "must not be empty"
		}
		return optional(store)(s, v)
	}
}

func address(at func(*Settings) *string) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(string)
		if !ok {
			return "must be a string"
		}
		if _, err := netip.ParseAddrPort(value); err != nil {
			return "must be IP:port"
		}
		*at(s) = value
		return ""
	}
}

func addresses(at func(*Settings) *[]string) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		list, ok := v.([]any)
		if !ok {
			return "must be a list of IP:port"
		}
		for _, element := range list {
			var one string
			if reason := address(func(*Settings) *string { return &one })(s, element); reason != "" {
				return "each element " + reason
			}
			*at(s) = append(*at(s), one)
		}
		return ""
	}
}

func oneOf(allowed []string, at func(*Settings) *string) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(string)
		if !ok || !slices.Contains(allowed, value) {
			return "must be one of " + strings.Join(allowed, ", ")
		}
		*at(s) = value
		return ""
	}
}

func duration(least, most time.Duration, at func(*Settings) *time.Duration) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(string)
		if !ok {
			return "must be a string such as \"600ms\""
		}
		d, err := time.ParseDuration(value)
		if err != nil || d < least || d > most {
			return fmt.Sprintf("must be a duration from %s to %s", least, most)
		}
		*at(s) = d
		return ""
	}
}

func count(least, most int, at func(*Settings) *int) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(int64)
		if !ok || value < int64(least) || value > int64(most) {
			return fmt.Sprintf("must be a whole number from %d to %d", least, most)
		}
		*at(s) = int(value)
		return ""
	}
}

func fraction(at func(*Settings) *float64) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(float64)
		if !ok || !(value >= 0 && value <= 1) {
			return "must be a number from 0.0 to 1.0"
		}
		*at(s) = value
		return ""
	}
}

func boolean(at func(*Settings) *bool) func(*Settings, any) string {
	return func(s *Settings, v any) string {
		value, ok := v.(bool)
		if !ok {
			return "must be true or false"
		}
		*at(s) = value
		return ""
	}
}

// defaultValue converts the documented default to the type that the decoder
// gives for such a value.
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
