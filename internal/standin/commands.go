package standin

import (
	"context"
	"os"

	"github.com/jessevdk/go-flags"

	"mustarddoor/internal/standin/enginesim"
	"mustarddoor/internal/standin/hostlist"
	"mustarddoor/internal/standin/logservice"
	"mustarddoor/internal/standin/plain"
	"mustarddoor/internal/standin/server"
	"mustarddoor/internal/standin/weightstore"
)

// Each command runs one simulator.
type (
	logCommand struct {
		ctx context.Context
		logservice.Options
	}
	hostsCommand struct {
		ctx context.Context
		hostlist.Options
	}
	weightsCommand struct {
		ctx context.Context
		weightstore.Options
	}
	engineCommand struct {
		ctx context.Context
		enginesim.Options
	}
	plainCommand struct {
		ctx context.Context
		plain.Options
	}
)

// Execute serves the log service until the context ends.
func (c *logCommand) Execute([]string) error {
	return server.Run(c.ctx, c.Options.Options, logservice.New(c.Options).Handler(), os.Stdout)
}

// Execute serves the host list until the context ends.
func (c *hostsCommand) Execute([]string) error {
	service, err := hostlist.New(c.Options)
	if err != nil {
		return err
	}
	return server.Run(c.ctx, c.Options.Options, service.Handler(), os.Stdout)
}

// Execute serves the weight store until the context ends.
func (c *weightsCommand) Execute([]string) error {
	return server.Run(c.ctx, c.Options.Options, weightstore.New(c.Options).Handler(), os.Stdout)
}

// Execute serves the engine until the context ends.
func (c *engineCommand) Execute([]string) error {
	return server.Run(c.ctx, c.Options.Options, enginesim.New(c.ctx, c.Options).Handler(), os.Stdout)
}

// Execute serves the plain service until the context ends.
func (c *plainCommand) Execute([]string) error {
	return server.Run(c.ctx, c.Options.Options, plain.New(c.Options).Handler(), os.Stdout)
}

// newParser returns the command-line parser with all commands.
func newParser(ctx context.Context) (*flags.Parser, error) {
	parser := flags.NewNamedParser("standin", flags.Default)
	commands := []struct {
		name, help string
		command    flags.Commander
	}{
		{"log", "Append-only log service", &logCommand{ctx: ctx}},
		{"hosts", "Host list that shows changes with a delay", &hostsCommand{ctx: ctx}},
		{"weights", "Rate-limited weight store", &weightsCommand{ctx: ctx}},
		{"engine", "Model engine", &engineCommand{ctx: ctx}},
		{"plain", "Plain service", &plainCommand{ctx: ctx}},
		{"answer", "Print the response that an engine generates", &answerCommand{}},
	}
	for _, c := range commands {
		if _, err := parser.AddCommand(c.name, c.help, c.help+".", c.command); err != nil {
			return nil, err
		}
	}
	return parser, nil
}
