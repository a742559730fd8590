package cli

import (
	"encoding/json"
	"time"

	"sandyard/internal/exposure"
)

// exposureArgs is "sandyard-drill exposure".
type exposureArgs struct {
	Folders []string      `arg:"" type:"existingdir" help:"Folders, each with the logs (*.log) of a play's instances."`
	Grace   time.Duration `default:"1s" help:"Drain grace of the deployment."`
	Reuse   time.Duration `default:"2s" help:"How long after an endpoint has left another one may have its address."`
	output
}

// Run prints a line for each play.
func (a exposureArgs) Run(c *Console) error {
	for _, folder := range a.Folders {
		play, err := exposure.ReadFolder(folder, a.Grace, a.Reuse)
		if err != nil {
			return err
		}
		if a.json() {
			err = json.NewEncoder(c.Out).Encode(play)
		} else {
			err = play.Print(c.Out)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
