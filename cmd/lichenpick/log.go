package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// logFlags are the flags of a command's log, which goes to standard error.
type logFlags struct{ level, form string }

// register adds the flags to a command.
func (f *logFlags) register(command *cobra.Command, defaultLevel string) {
	command.Flags().StringVar(&f.level, "log-level", defaultLevel, "debug, info, warn or error")
	command.Flags().StringVar(&f.form, "log-form", "text", "text or json")
}

// logger returns the logger that the flags ask for.
func (f *logFlags) logger() (*slog.Logger, error) { return logger(f.level, f.form) }

// logger returns a logger to standard error. An unknown level or form is an error of the call.
func logger(levelName, form string) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(levelName)); err != nil {
		return nil, usageError{fmt.Errorf("no log level %q; debug, info, warn or error", levelName)}
	}
	options := &slog.HandlerOptions{Level: level}
	switch form {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
	}
	return nil, usageError{fmt.Errorf("no log form %q; text or json", form)}
}
