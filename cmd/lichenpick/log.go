package main

import (
	"fmt"
	"log/slog"
	"os"

	"github.com/spf13/cobra"
)

// logFlags has the flags that set the level and format of a command's log.
type logFlags struct{ level, form string }

// register adds the flags to a command.
func (f *logFlags) register(command *cobra.Command, defaultLevel string) {
	command.Flags().StringVar(&f.level, "log-level", defaultLevel, "lowest level that is logged: debug, info, warn or error")
	command.Flags().StringVar(&f.form, "log-form", "text", "format of the log: text or json")
}

// logger returns the logger that the flags select.
func (f *logFlags) logger() (*slog.Logger, error) { return logger(f.level, f.form) }

// logger returns a logger that writes to standard error. An unknown level or format is a usageError.
func logger(levelName, form string) (*slog.Logger, error) {
	var level slog.Level
	if err := level.UnmarshalText([]byte(levelName)); err != nil {
		return nil, usageError{fmt.Errorf("unknown log level %q; want debug, info, warn or error", levelName)}
	}
	options := &slog.HandlerOptions{Level: level}
	switch form {
	case "text":
		return slog.New(slog.NewTextHandler(os.Stderr, options)), nil
	case "json":
		return slog.New(slog.NewJSONHandler(os.Stderr, options)), nil
	}
	return nil, usageError{fmt.Errorf("unknown log format %q; want text or json", form)}
}
