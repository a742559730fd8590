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

// digestPrefix begins a key that is written as the hexadecimal digits of its SHA-256.
const digestPrefix = "sha256:"

// Customer is a customer as requests refer to it.
type Customer struct {
	Name          string
	Plan          decision.PlanID
	PlanName      string
	Spread, First int // its requests come through Spread instances, from number First on
}

// CustomerByKey finds the customer of a key, nil if there is none. It compares digests, so that the time that it takes
// says nothing of other keys.
func (c *Config) CustomerByKey(key string) *Customer { return c.byKey[sha256.Sum256([]byte(key))] }

// CustomerByName finds a customer by name, nil if there is none.
func (c *Config) CustomerByName(name string) *Customer { return c.byName[name] }

// ForInstance is the configuration as instance number n of a fleet of another size has it. Customers that come in
// through all instances do so there, too.
func (c *Config) ForInstance(n, of int) *Config {
	d := *c
	d.Instance.Number, d.Instance.Total = n, of
	d.Settings.Self, d.Settings.Instances = n, of
	d.Settings.Plans = slices.Clone(c.Settings.Plans)
	d.byKey, d.byName = map[[sha256.Size]byte]*Customer{}, map[string]*Customer{}
	for name, customer := range c.byName {
		own := *customer
		if own.Spread == c.Instance.Total || own.Spread > of {
			own.Spread = of
		}
		own.First %= of
		d.byName[name] = &own
	}
	for digest, customer := range c.byKey {
		d.byKey[digest] = d.byName[customer.Name]
	}
	return &d
}

// indexCustomers validates the customers and makes them known by name and key.
func (c *Config) indexCustomers(d *strictyaml.Document) {
	holders := map[[sha256.Size]byte]string{}
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
			if other, taken := holders[digest]; taken {
				d.Reportf(field, "the same key as one of %q", other)
				continue
			}
			holders[digest], c.byKey[digest] = s.Name, customer
		}
	}
	if len(c.Customers) == 0 {
		d.Reportf("studios", "missing: at least one studio")
	}
}

// validateCustomer validates one customer, but for its keys.
func (c *Config) validateCustomer(d *strictyaml.Document, at string, s *CustomerConfig) *Customer {
	plan := slices.IndexFunc(c.Plans, func(p Plan) bool { return p.Name == s.Plan })
	if plan < 0 {
		d.Reportf(at+".plan", "%q is not among plans", s.Plan)
	}
	if s.Name == "" {
		d.Reportf(at+".name", "missing")
	} else if c.byName[s.Name] != nil {
		d.Reportf(at+".name", "%q stands twice", s.Name)
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

// keyDigest is the digest by which a key is found.
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
