// Package config reads the settings of an instance: gateway.yaml, the OpenAPI description that it names and the list of
// endpoints. Every problem is reported with file, line and field, all at once. What it returns is immutable and may be
// shared by goroutines. It decides nothing about requests; package decision does.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"

	"sandyard/decision"
	"sandyard/internal/diagnostic"
	"sandyard/internal/strictyaml"
	"sandyard/routes"
)

const digestBytes = 8 // of a SHA-256, in Config.Digest: enough to tell versions of a configuration apart

// Config is a configuration without problems.
type Config struct {
	File
	Path             string // of gateway.yaml
	Settings         decision.Settings
	Routes           *routes.Table
	ClassByOperation []decision.ClassID // by routes.Operation.Index
	ClassNames       []string           // by decision.ClassID
	LoadReportNames  []string           // of the figures, in the order of Settings.LoadFields
	Digest           string             // of gateway.yaml and the description, in hexadecimal digits
	Endpoints        []Endpoint         // as the list had them when it was read
	byKey            map[[sha256.Size]byte]*Customer
	byName           map[string]*Customer
}

// Load reads gateway.yaml and the files it names. The error is a diagnostic.Problems with all that is wrong; of a file
// that can't be read, errors.Is finds the cause, such as fs.ErrNotExist.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, diagnostic.Problems{{File: path, Message: fileErrorText(err), Cause: err}}.Err()
	}
	c, d := parse(path, text)
	digest := sha256.New()
	digest.Write(text)
	if c.OpenAPI != "" {
		file := c.beside(c.OpenAPI)
		if description, ok := readNamed(d, "openapi", file); ok {
			digest.Write(description)
			c.compileRoutes(d, file, description)
		}
	}
	if file := c.EndpointsPath(); file != "" {
		if list, ok := readNamed(d, "boxes.file", file); ok {
			c.parseEndpoints(d, file, list)
		}
	}
	c.Digest = hex.EncodeToString(digest.Sum(nil)[:digestBytes])
	return c.finish(d)
}

// Parse is Load without a file system: the texts of the three files are given.
func Parse(path string, text, description, endpoints []byte) (*Config, error) {
	c, d := parse(path, text)
	c.compileRoutes(d, c.OpenAPI, description)
	c.parseEndpoints(d, c.Backends.File, endpoints)
	return c.finish(d)
}

// EndpointsPath is where the list of endpoints is kept; "" if gateway.yaml names none.
func (c *Config) EndpointsPath() string { return c.beside(c.Backends.File) }

// AdminSocket is where tools reach the instance; "" if nowhere.
func (c *Config) AdminSocket() string { return c.beside(c.Admin.Socket) }

// TraceFolder is where traces are kept; "" if nowhere.
func (c *Config) TraceFolder() string { return c.beside(c.Trace.Folder) }

// beside takes a path relative to gateway.yaml.
func (c *Config) beside(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(c.Path), name)
}

// parse reads gateway.yaml and validates what depends on no other file.
func parse(path string, text []byte) (*Config, *strictyaml.Document) {
	c := &Config{File: defaults(), Path: path, byKey: map[[sha256.Size]byte]*Customer{}, byName: map[string]*Customer{}}
	d := strictyaml.Read(path, text, &c.File)
	if d.Readable() {
		c.validate(d)
		c.indexCustomers(d)
	}
	return c, d
}

// finish derives the settings of the decisions, which need all files.
func (c *Config) finish(d *strictyaml.Document) (*Config, error) {
	if c.Routes != nil && d.Readable() {
		c.deriveSettings(d)
	}
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// readNamed reads a file that a field names.
func readNamed(d *strictyaml.Document, field, file string) ([]byte, bool) {
	text, err := os.ReadFile(file)
	if err != nil {
		d.Report(field, fileErrorText(err), err)
		return nil, false
	}
	return text, true
}

func (c *Config) compileRoutes(d *strictyaml.Document, file string, description []byte) {
	var err error
	if c.Routes, err = routes.Compile(file, description); err != nil {
		addProblems(d, err)
	}
}

func (c *Config) parseEndpoints(d *strictyaml.Document, file string, list []byte) {
	var err error
	if c.Endpoints, err = ParseEndpoints(file, list); err != nil {
		addProblems(d, err)
	}
}

// addProblems adds the problems of another file.
func addProblems(d *strictyaml.Document, err error) {
	var problems diagnostic.Problems
	if errors.As(err, &problems) {
		d.Problems = append(d.Problems, problems...)
		return
	}
	d.Report("", err.Error(), err)
}

// fileErrorText is the text of an error of the file system, the same on all systems.
func fileErrorText(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Op + " " + pathError.Path + ": " + pathError.Err.Error()
	}
	return err.Error()
}
