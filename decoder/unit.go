package decoder

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// byteUnit is a unit of an amount of bytes, such as KiB.
type byteUnit struct {
	suffix string
	bytes  int64
}

// byteUnits are ordered so that a suffix comes after the longer ones that end in it:
// "B" is last.
var byteUnits = []byteUnit{
	{suffix: "TiB", bytes: 1 << 40},
	{suffix: "GiB", bytes: 1 << 30},
	{suffix: "MiB", bytes: 1 << 20},
	{suffix: "KiB", bytes: 1 << 10},
	{suffix: "TB", bytes: 1e12},
	{suffix: "GB", bytes: 1e9},
	{suffix: "MB", bytes: 1e6},
	{suffix: "KB", bytes: 1e3},
	{suffix: "B", bytes: 1},
}

// UnitError reports an amount that cannot be parsed.
type UnitError struct {
	// Text is the amount as written.
	Text string
	// Allowed describes the allowed form.
	Allowed string
}

// Error implements error.
func (e *UnitError) Error() string { return fmt.Sprintf("%q is not %s", e.Text, e.Allowed) }

// ParseBytes parses a whole amount with a unit from B to TB or TiB and returns it
// in bytes. Its errors are *UnitError.
func ParseBytes(text string) (int64, error) {
	failure := &UnitError{Text: text, Allowed: "a whole amount with a unit of bytes, such as 60GB"}
	for _, unit := range byteUnits {
		digits, found := strings.CutSuffix(text, unit.suffix)
		if !found {
			continue
		}
		amount, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || amount < 0 || amount > math.MaxInt64/unit.bytes {
			return 0, failure
		}
		return amount * unit.bytes, nil
	}
	return 0, failure
}

// FormatBytes formats an amount of bytes in the largest unit that divides it.
func FormatBytes(amount int64) string {
	best := byteUnit{suffix: "B", bytes: 1}
	for _, unit := range byteUnits {
		if amount != 0 && amount%unit.bytes == 0 && unit.bytes > best.bytes {
			best = unit
		}
	}
	return strconv.FormatInt(amount/best.bytes, 10) + best.suffix
}

const thousandthDigits = 3

// ParseThousandths parses a number with up to three decimals and returns the
// number of thousandths. Its errors are *UnitError.
func ParseThousandths(text string) (int64, error) {
	failure := &UnitError{Text: text, Allowed: "a number with up to three decimals"}
	whole, decimals, _ := strings.Cut(text, ".")
	if len(decimals) > thousandthDigits || strings.HasPrefix(decimals, "-") || strings.HasPrefix(decimals, "+") {
		return 0, failure
	}
	digits := whole + decimals + strings.Repeat("0", thousandthDigits-len(decimals))
	if whole == "" {
		return 0, failure
	}
	amount, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0, failure
	}
	return amount, nil
}

// FormatThousandths formats a number of thousandths as a decimal number.
func FormatThousandths(amount int64) string {
	return strconv.FormatFloat(float64(amount)/1000, 'f', -1, 64)
}
