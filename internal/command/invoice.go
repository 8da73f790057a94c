package command

import (
	"encoding/json"

	"almondreel.example/almondreel/internal/invoice"
	"almondreel.example/almondreel/internal/kv"
)

type showInvoice struct {
	Organisation string `long:"organisation" description:"only this organisation's lines"`
	Output       string `long:"output" choice:"table" choice:"json" default:"table" description:"form of the answer"`
	line         *line
}

// Execute prints the invoice.
func (c *showInvoice) Execute([]string) error {
	o, err := c.line.load()
	if err != nil {
		return err
	}
	ctx, cancel := c.line.context()
	defer cancel()
	all, err := invoice.Read(ctx, kv.NewClient(o.KeyValue).For("Invoice"))
	if err != nil {
		return err
	}
	wanted := all.For(c.Organisation)
	if c.Output == "json" {
		encoder := json.NewEncoder(c.line.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(wanted)
	}
	return wanted.Write(c.line.out)
}
