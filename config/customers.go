package config

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"sandyard/decision"
	"sandyard/internal/strictyaml"
)

// digestPrefix marks a key that is configured as its SHA-256 in hexadecimal digits.
const digestPrefix = "sha256:"

// Customer is the customer to which a request belongs.
type Customer struct {
	Name          string
	Plan          decision.PlanID
	PlanName      string
	Spread, First int // its requests arrive at Spread instances, beginning with number First; see CustomerInstances
}

// CustomerByKey returns the customer of a key, or nil if there is none. It compares digests of keys, so that its running
// time reveals nothing about other keys.
func (c *Config) CustomerByKey(key string) *Customer { return c.byKey[sha256.Sum256([]byte(key))] }

// CustomerByName returns the customer with a name, or nil if there is none.
func (c *Config) CustomerByName(name string) *Customer { return c.byName[name] }

// ForInstance returns a copy of the configuration for instance number n of a fleet of another size, total. Customers whose
// requests arrive at all instances are spread over all instances of that fleet, too. For other customers, a Spread beyond the
// size of that fleet is reduced to it, and First is taken modulo that size.
func (c *Config) ForInstance(n, total int) *Config {
	d := *c
	d.Instance.Number, d.Instance.Total = n, total
	d.Settings.Self, d.Settings.Instances = n, total
	d.Settings.Plans = slices.Clone(c.Settings.Plans)
	d.byKey, d.byName = map[[sha256.Size]byte]*Customer{}, map[string]*Customer{}
	for name, customer := range c.byName {
		copied := *customer
		if copied.Spread == c.Instance.Total || copied.Spread > total {
			copied.Spread = total
		}
		copied.First %= total
		d.byName[name] = &copied
	}
	for digest, customer := range c.byKey {
		d.byKey[digest] = d.byName[customer.Name]
	}
	return &d
}

// indexCustomers validates the customers and indexes them by name and key.
func (c *Config) indexCustomers(d *strictyaml.Document) {
	owners := map[[sha256.Size]byte]string{}
	for i := range c.Customers {
		s, at := &c.Customers[i], fmt.Sprintf("studios[%d]", i)
		customer := c.validateCustomer(d, at, s)
		c.byName[s.Name] = customer
		if len(s.Keys) == 0 {
			d.Reportf(at+".keys", "missing: at least one key")
		}
		for j, key := range s.Keys {
			field := fmt.Sprintf("%s.keys[%d]", at, j)
			digest, ok := keyDigest(d, field, key)
			if !ok {
				continue
			}
			if other, taken := owners[digest]; taken {
				d.Reportf(field, "the same key as one of %q", other)
				continue
			}
			owners[digest], c.byKey[digest] = s.Name, customer
		}
	}
	if len(c.Customers) == 0 {
		d.Reportf("studios", "missing: at least one studio")
	}
}

// validateCustomer validates the settings of one customer except its keys, and returns the Customer that they describe.
func (c *Config) validateCustomer(d *strictyaml.Document, at string, s *CustomerConfig) *Customer {
	plan := slices.IndexFunc(c.Plans, func(p Plan) bool { return p.Name == s.Plan })
	if plan < 0 {
		d.Reportf(at+".plan", "%q is not among plans", s.Plan)
	}
	if s.Name == "" {
		d.Reportf(at+".name", "missing")
	} else if c.byName[s.Name] != nil {
		d.Reportf(at+".name", "%q occurs twice", s.Name)
	}
	spread := s.Instances.Spread
	if spread == 0 {
		spread = c.Instance.Total
	}
	if spread < 1 || spread > max(1, c.Instance.Total) {
		d.Reportf(at+".doors.spread", "%d: expected 1 to door.of", spread)
	}
	if s.Instances.First < 0 || s.Instances.First >= max(1, c.Instance.Total) {
		d.Reportf(at+".doors.first", "%d: expected 0 to door.of-1", s.Instances.First)
	}
	return &Customer{Name: s.Name, Plan: decision.PlanID(plan), PlanName: s.Plan, Spread: spread, First: s.Instances.First}
}

// keyDigest returns the digest by which a configured key is indexed. It reports an invalid key as a problem.
func keyDigest(d *strictyaml.Document, field, key string) (digest [sha256.Size]byte, ok bool) {
	digits, hashed := strings.CutPrefix(key, digestPrefix)
	if !hashed {
		if key == "" {
			d.Reportf(field, "an empty key")
		}
		return sha256.Sum256([]byte(key)), key != ""
	}
	b, err := hex.DecodeString(digits)
	if err != nil || len(b) != len(digest) {
		d.Reportf(field, "expected 64 hexadecimal digits after sha256:")
		return digest, false
	}
	copy(digest[:], b)
	return digest, true
}
