// Package config reads the settings of an instance: gateway.yaml, and the OpenAPI description and endpoint list that it
// names. It reports all problems at once, each with file, line and field. A Config is immutable and may be shared by
// goroutines. Package config does not decide on requests; package decision does.
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

const digestBytes = 8 // bytes of the SHA-256 that Config.Digest contains; they suffice to distinguish versions of a configuration

// Config is a valid configuration.
type Config struct {
	File
	Path             string // path of gateway.yaml
	Settings         decision.Settings
	Routes           *routes.Table
	ClassByOperation []decision.ClassID // by routes.Operation.Index
	ClassNames       []string           // by decision.ClassID
	LoadReportNames  []string           // names of the values in load reports, in the order of Settings.LoadFields
	Digest           string             // digest of gateway.yaml and the OpenAPI description, in hexadecimal digits
	Endpoints        []Endpoint         // content of the endpoint list when it was read
	byKey            map[[sha256.Size]byte]*Customer
	byName           map[string]*Customer
}

// Load reads gateway.yaml and the files that it names. The error is a diagnostic.Problems with every problem. If a file
// can't be read, errors.Is finds the cause, such as fs.ErrNotExist.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, diagnostic.Problems{{File: path, Message: fileErrorText(err), Cause: err}}.Err()
	}
	c, d := parse(path, text)
	digest := sha256.New()
	digest.Write(text)
	if c.OpenAPI != "" {
		file := c.resolvePath(c.OpenAPI)
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

// Parse is like Load, but takes the contents of the three files instead of reading them. It sets no Digest.
func Parse(path string, text, description, endpoints []byte) (*Config, error) {
	c, d := parse(path, text)
	c.compileRoutes(d, c.OpenAPI, description)
	c.parseEndpoints(d, c.Backends.File, endpoints)
	return c.finish(d)
}

// EndpointsPath returns the path of the endpoint list, or "" if gateway.yaml names none.
func (c *Config) EndpointsPath() string { return c.resolvePath(c.Backends.File) }

// AdminSocket returns the path of the admin socket, or "" if there is none.
func (c *Config) AdminSocket() string { return c.resolvePath(c.Admin.Socket) }

// TraceFolder returns the directory of the trace files, or "" if none is set.
func (c *Config) TraceFolder() string { return c.resolvePath(c.Trace.Folder) }

// resolvePath resolves a path relative to the directory of gateway.yaml. An empty path stays empty.
func (c *Config) resolvePath(name string) string {
	if name == "" || filepath.IsAbs(name) {
		return name
	}
	return filepath.Join(filepath.Dir(c.Path), name)
}

// parse reads gateway.yaml and validates the settings that do not depend on other files.
func parse(path string, text []byte) (*Config, *strictyaml.Document) {
	c := &Config{File: defaults(), Path: path, byKey: map[[sha256.Size]byte]*Customer{}, byName: map[string]*Customer{}}
	d := strictyaml.Read(path, text, &c.File)
	if d.Readable() {
		c.validate(d)
		c.indexCustomers(d)
	}
	return c, d
}

// finish derives the settings of package decision, which need all files, and returns the configuration or its problems.
func (c *Config) finish(d *strictyaml.Document) (*Config, error) {
	if c.Routes != nil && d.Readable() {
		c.deriveSettings(d)
	}
	if err := d.Problems.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// readNamed reads a file that a field names. If it can't be read, it reports a problem at the field and returns false.
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

// addProblems adds the problems of another file to the document's.
func addProblems(d *strictyaml.Document, err error) {
	var problems diagnostic.Problems
	if errors.As(err, &problems) {
		d.Problems = append(d.Problems, problems...)
		return
	}
	d.Report("", err.Error(), err)
}

// fileErrorText returns the text of a file system error in the same form on all systems.
func fileErrorText(err error) string {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Op + " " + pathError.Path + ": " + pathError.Err.Error()
	}
	return err.Error()
}
