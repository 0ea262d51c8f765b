package operator

import (
	"context"
	"net/http"
	"net/url"
)

// QuarantinedPart is a part of prompts that is suspected of crashing engines.
type QuarantinedPart struct {
	Pool      string   `json:"pool"`
	Part      string   `json:"part"` // id in hexadecimal
	Blocked   bool     `json:"blocked"`
	For       string   `json:"for,omitempty"` // time until a request may try the part again
	Crashes   int      `json:"crashes"`       // that count against the part
	Trials    int      `json:"trials"`        // of these, under a request that tried the part
	Processes []string `json:"processes"`     // engine processes that crashed: ID@ADDRESS@START, START in Unix milliseconds
}

// Quarantine returns the prompt parts that an entry host suspects of crashing engines. The error is a *Failure.
func (c *Client) Quarantine(ctx context.Context) ([]QuarantinedPart, error) {
	var parts []QuarantinedPart
	_, err := c.do(ctx, http.MethodGet, "/v1/quarantine", nil, nil, &parts)
	return parts, err
}

// LiftPart makes all entry hosts take a prompt part to be sound; part is its id in hexadecimal. The error is a *Failure.
func (c *Client) LiftPart(ctx context.Context, pool, part string) error {
	_, err := c.do(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(pool)+"/"+url.PathEscape(part), nil, nil, nil)
	return err
}
