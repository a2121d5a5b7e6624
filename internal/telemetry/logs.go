// Package telemetry sets up the logging, the metrics and the tracing of a process.
package telemetry

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/samphirepath/samphirepath/api"
)

// NewLogger returns a logger that writes to standard error. Each component of the
// daemon logs through Named, so that its lines carry the name of the component.
func NewLogger(s api.LogSettings) (*zap.Logger, error) {
	config := zap.NewProductionConfig()
	level, err := zapcore.ParseLevel(s.Level)
	if err != nil {
		return nil, eris.Wrapf(err, "log level %q", s.Level)
	}
	config.Level = zap.NewAtomicLevelAt(level)
	config.Encoding = s.Format
	config.DisableCaller = true
	config.DisableStacktrace = true
	// Sampling is off, because it would drop lines that are needed to analyse a
	// failure later.
	config.Sampling = nil
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.NameKey = "part"
	config.EncoderConfig.MessageKey = "message"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger, err := config.Build()
	return logger, eris.Wrap(err, "build the logger")
}

// Named returns the logger of a component of the daemon. If logger is nil, the result
// discards everything.
func Named(logger *zap.Logger, name string) *zap.Logger {
	return LoggerOrNop(logger).Named(name)
}

// LoggerOrNop returns the logger, or one that discards everything if it is nil.
func LoggerOrNop(logger *zap.Logger) *zap.Logger {
	if logger == nil {
		return zap.NewNop()
	}
	return logger
}

// ErrorField returns a log field with the message of an error but without its stack
// trace, which is much longer than the message and would fill the log when many calls
// fail.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}

// LogPanic recovers from a panic of the function that defers it, and logs the cause with
// the stack. One malformed message or one unexpected error then costs the work in hand
// and not the process.
func LogPanic(log *zap.Logger, during string, fields ...zap.Field) {
	if cause := recover(); cause != nil {
		log.Error("Internal error.", append(fields, zap.String("during", during), zap.Any("cause", cause), zap.Stack("stack"))...)
	}
}
