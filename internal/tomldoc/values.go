package tomldoc

import (
	"encoding/base64"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Descriptions of accepted values, shown in findings.
const (
	allowedString    = "a string"
	allowedInteger   = "an integer"
	allowedNumber    = "a number"
	allowedFlag      = "true or false"
	allowedStrings   = "an array of strings"
	allowedDuration  = `a duration such as "250ms" or "5m"`
	allowedAddress   = `an address with port, such as "192.0.2.1:5683" or "[2001:db8::1]:5683"`
	allowedAddresses = "an array of addresses with port"
)

// Text returns a string, or "" if the key is missing.
func (t *Table) Text(key string) string {
	if !t.Has(key) {
		return ""
	}
	text, ok := t.values[key].(string)
	if !ok {
		t.reportWrongType(key, t.values[key], allowedString)
	}
	return text
}

// TextOr returns a string, or the default if the key is missing.
func (t *Table) TextOr(key, defaultValue string) string {
	if !t.Has(key) {
		return defaultValue
	}
	return t.Text(key)
}

// Flag returns a boolean, or false if the key is missing.
func (t *Table) Flag(key string) bool {
	if !t.Has(key) {
		return false
	}
	value, ok := t.values[key].(bool)
	if !ok {
		t.reportWrongType(key, t.values[key], allowedFlag)
	}
	return value
}

// Choice returns a string that must be one of the choices.
func (t *Table) Choice(key string, choices ...string) string {
	text := t.Text(key)
	if !t.Has(key) || slices.Contains(choices, text) {
		return text
	}
	quoted := make([]string, len(choices))
	for i, choice := range choices {
		quoted[i] = fmt.Sprintf("%q", choice)
	}
	t.reportInvalid(key, fmt.Sprintf("unknown value %q", text), strings.Join(quoted, ", "))
	return ""
}

// Texts returns an array of strings.
func (t *Table) Texts(key string) []string {
	if !t.Has(key) {
		return nil
	}
	array, ok := t.values[key].([]any)
	if !ok {
		t.reportWrongType(key, t.values[key], allowedStrings)
		return nil
	}
	texts := make([]string, 0, len(array))
	for i, element := range array {
		text, ok := element.(string)
		if !ok {
			t.reportWrongType(indexPath(key, i), element, allowedString)
		}
		texts = append(texts, text)
	}
	return texts
}

// Integer returns an integer, or the default if the key is missing.
func (t *Table) Integer(key string, defaultValue int64) int64 {
	if !t.Has(key) {
		return defaultValue
	}
	n, ok := t.values[key].(int64)
	if !ok {
		t.reportWrongType(key, t.values[key], allowedInteger)
	}
	return n
}

// IntegerIn returns an integer that must be within the inclusive bounds. The
// default is not checked.
func (t *Table) IntegerIn(key string, defaultValue, low, high int64) int64 {
	n := t.Integer(key, defaultValue)
	if !t.Has(key) || (n >= low && n <= high) {
		return n
	}
	t.reportInvalid(key, fmt.Sprintf("%d is out of range", n), formatRange(low, high))
	return 0
}

// formatRange describes integer bounds.
func formatRange(low, high int64) string {
	if high == math.MaxInt64 {
		return fmt.Sprintf("%d or more", low)
	}
	return fmt.Sprintf("%d to %d", low, high)
}

// Number returns an integer or float, or the default if the key is missing.
func (t *Table) Number(key string, defaultValue float64) float64 {
	if !t.Has(key) {
		return defaultValue
	}
	switch value := t.values[key].(type) {
	case float64:
		return value
	case int64:
		return float64(value)
	}
	t.reportWrongType(key, t.values[key], allowedNumber)
	return 0
}

// Duration returns a duration written as a string in the format of
// time.ParseDuration, or the default if the key is missing.
func (t *Table) Duration(key string, defaultValue time.Duration) time.Duration {
	if !t.Has(key) {
		return defaultValue
	}
	text, ok := t.values[key].(string)
	if !ok {
		t.reportWrongType(key, t.values[key], allowedDuration)
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		t.reportInvalid(key, fmt.Sprintf("%q is not a duration", text), allowedDuration)
	}
	return duration
}

// Address returns an IP address with a port above 0.
func (t *Table) Address(key string) netip.AddrPort {
	if !t.Has(key) {
		return netip.AddrPort{}
	}
	return t.parseAddress(key, t.values[key])
}

// Addresses returns an array of IP addresses with ports. Malformed elements
// become invalid addresses, so that indexes are preserved.
func (t *Table) Addresses(key string) []netip.AddrPort {
	if !t.Has(key) {
		return nil
	}
	array, ok := t.values[key].([]any)
	if !ok {
		t.reportWrongType(key, t.values[key], allowedAddresses)
		return nil
	}
	addresses := make([]netip.AddrPort, len(array))
	for i, element := range array {
		addresses[i] = t.parseAddress(indexPath(key, i), element)
	}
	return addresses
}

// parseAddress parses the address at the key.
func (t *Table) parseAddress(key string, value any) netip.AddrPort {
	text, ok := value.(string)
	if !ok {
		t.reportWrongType(key, value, allowedAddress)
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil || address.Port() == 0 {
		t.reportInvalid(key, fmt.Sprintf("%q is not an address with port", text), allowedAddress)
		return netip.AddrPort{}
	}
	return address
}

// Base64 returns the bytes of a string in standard base64, which must be of
// the given size.
func (t *Table) Base64(key string, size int) []byte {
	text := t.Text(key)
	if !t.Has(key) {
		return nil
	}
	raw, err := base64.StdEncoding.DecodeString(text)
	if err != nil || len(raw) != size {
		t.reportInvalid(key, "malformed key", fmt.Sprintf("%d bytes in base64", size))
		return nil
	}
	return raw
}

// ElementKey returns the key of an array element for [Table.Report].
func ElementKey(key string, i int) string {
	return indexPath(key, i)
}
