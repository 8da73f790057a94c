package command

import (
	"encoding/json"

	"almondreel.example/almondreel/internal/invoice"
	"almondreel.example/almondreel/internal/kv"
)

type showInvoice struct {
	Organisation string `long:"organisation" description:"only this organisation's lines"`
	Output       string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the answer"`
	invocation   *invocation
}

// Execute prints the invoice.
func (c *showInvoice) Execute([]string) error {
	o, err := c.invocation.load()
	if err != nil {
		return err
	}
	ctx, cancel := c.invocation.context()
	defer cancel()
	complete, err := invoice.Read(ctx, kv.NewClient(o.KeyValue).WithPurpose("Invoice"))
	if err != nil {
		return err
	}
	wanted := complete.For(c.Organisation)
	if c.Output == "json" {
		encoder := json.NewEncoder(c.invocation.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(wanted)
	}
	return wanted.Write(c.invocation.out)
}
