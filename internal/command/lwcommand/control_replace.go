package lwcommand

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/integrii/flaggy"
)

var controlReplaceVerb = &verb{
	name:  "control replace",
	short: "replace a control replica with a new one",
	usage: `usage: lavenderweir control replace --old ADDRESS --new ADDRESS

Start the new replica first, with an empty data folder and its own address in
control_addresses beside the others; it joins as a learner. Once it has caught
up, the leader removes the voter at the old address and makes the learner a
voter; "status" shows the progress. Repeat the command after a change of leader.

  --old ADDRESS   RPC address of the voter to remove
  --new ADDRESS   RPC address of the learner that replaces it
` + apiUsage,
	run: runControlReplace,
}

func runControlReplace(args []string, std streams) error {
	var f apiFlags
	var oldAddress, newAddress string
	c, err := f.connect("control replace", args, func(p *flaggy.Parser) {
		p.String(&oldAddress, "", "old", "RPC address of the voter to remove")
		p.String(&newAddress, "", "new", "RPC address of the learner that replaces it")
	})
	if err != nil {
		return err
	}
	if oldAddress == "" || newAddress == "" {
		return &usageError{"--old and --new are required"}
	}
	body, err := json.Marshal(map[string]string{"old": oldAddress, "new": newAddress})
	if err != nil {
		return fmt.Errorf("encode request: %w", err)
	}
	if err := c.Post(context.Background(), "/v1/control/replace", body, nil); err != nil {
		return err
	}
	_, err = fmt.Fprintf(std.out, "%s takes the place of %s once it has caught up\n", newAddress, oldAddress)
	return err
}
