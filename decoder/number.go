package decoder

import (
	"fmt"
	"strconv"

	"github.com/tailscale/hujson"
)

// Integer describes the allowed values of a whole number.
type Integer struct {
	// Required makes a missing field a fault.
	Required bool
	// Default is the value of a missing or faulty field.
	Default int64
	// Min is the smallest allowed value.
	Min int64
	// Max is the largest allowed value.
	Max int64
}

// String describes the allowed values.
func (i Integer) String() string { return fmt.Sprintf("a whole number from %d to %d", i.Min, i.Max) }

// Thousandths describes the allowed values of a number with up to three decimals,
// which is read as a number of thousandths.
type Thousandths struct {
	// Required makes a missing field a fault.
	Required bool
	// Default is the value of a missing or faulty field.
	Default int64
	// Min is the smallest allowed value in thousandths.
	Min int64
	// Max is the largest allowed value in thousandths.
	Max int64
}

// Number describes the allowed values of a number with any decimals.
type Number struct {
	// Required makes a missing field a fault.
	Required bool
	// Default is the value of a missing or faulty field.
	Default float64
	// Min is the smallest allowed value.
	Min float64
}

// Number reads a field that holds a number with any decimals.
func (o *Object) Number(name string, limits Number) float64 {
	allowed := fmt.Sprintf("a number from %v", limits.Min)
	value, found := o.lookup(name, limits.Required)
	if !found {
		return limits.Default
	}
	number, err := strconv.ParseFloat(numberText(value), 64)
	if err != nil {
		o.reject(name, value, "is not a number", allowed)
		return limits.Default
	}
	if number < limits.Min {
		o.reject(name, value, "is out of range", allowed)
		return limits.Default
	}
	return number
}

// Integer reads a field that holds a whole number.
func (o *Object) Integer(name string, limits Integer) int64 {
	allowed := limits.String()
	value, found := o.lookup(name, limits.Required)
	if !found {
		return limits.Default
	}
	number, err := strconv.ParseInt(numberText(value), 10, 64)
	if err != nil {
		o.reject(name, value, "is not a whole number", allowed)
		return limits.Default
	}
	if number < limits.Min || number > limits.Max {
		o.reject(name, value, "is out of range", allowed)
		return limits.Default
	}
	return number
}

// Thousandths reads a field that holds a number with up to three decimals and
// returns the number of thousandths.
func (o *Object) Thousandths(name string, limits Thousandths) int64 {
	allowed := fmt.Sprintf("a number from %s to %s", FormatThousandths(limits.Min), FormatThousandths(limits.Max))
	value, found := o.lookup(name, limits.Required)
	if !found {
		return limits.Default
	}
	amount, err := ParseThousandths(numberText(value))
	if err != nil {
		o.reject(name, value, "is not a number with up to three decimals", allowed)
		return limits.Default
	}
	if amount < limits.Min || amount > limits.Max {
		o.reject(name, value, "is out of range", allowed)
		return limits.Default
	}
	return amount
}

func numberText(value hujson.Value) string {
	if value.Value.Kind() != '0' {
		return ""
	}
	return string(value.Value.(hujson.Literal))
}
