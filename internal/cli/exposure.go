package cli

import (
	"encoding/json"
	"time"

	"sandyard/internal/exposure"
)

// exposureArgs is the command "sandyard-drill exposure".
type exposureArgs struct {
	Folders []string      `arg:"" type:"existingdir" help:"Folders, each with the logs (*.log) of a play's instances."`
	Grace   time.Duration `default:"1s" help:"Drain grace of the deployment."`
	Reuse   time.Duration `default:"2s" help:"How long after an endpoint has left another one may have its address."`
	output
}

// Run prints the exposure of the run in each folder.
func (a exposureArgs) Run(c *Console) error {
	for _, folder := range a.Folders {
		run, err := exposure.ReadFolder(folder, a.Grace, a.Reuse)
		if err != nil {
			return err
		}
		if a.json() {
			err = json.NewEncoder(c.Out).Encode(run)
		} else {
			err = run.Print(c.Out)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
