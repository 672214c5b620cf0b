package lwlink

import (
	"context"

	"lavenderweir.example/lavenderweir/internal/base/lwunit"
	"lavenderweir.example/lavenderweir/internal/control/lwevacuation"
)

// SetEvacuation evacuates or restores a failure domain for an operator. The error is nil
// once the order is committed or the domain already is as asked, and has kind NotFound for
// a domain that does not exist. The order rests on the domain's record as it is now: an
// attempt that arrives after a later order was carried out has no effect.
func (c *Client) SetEvacuation(ctx context.Context, domain lwunit.FailureDomain, evacuate bool, by string) (lwevacuation.Record, error) {
	var rec lwevacuation.Record
	if err := c.callQueue(ctx, MethodEvacuation, domain, &rec); err != nil {
		return rec, err
	}
	o := lwevacuation.Order{Domain: domain, Evacuate: evacuate, Expected: rec.Revision, By: by}
	err := c.callQueue(ctx, MethodSetEvacuation, o, &rec)
	return rec, err
}
