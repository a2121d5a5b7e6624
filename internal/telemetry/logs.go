// Package telemetry builds the logger, the metrics and the tracer of a process.
package telemetry

import (
	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/samphirepath/samphirepath/api"
)

// NewLogger returns a logger to standard error. Each part of the daemon takes
// Part(logger, "peers") or the like, and its lines carry that prefix.
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
	// Every line counts for those who read the log later; sampling drops lines.
	config.Sampling = nil
	config.EncoderConfig.TimeKey = "time"
	config.EncoderConfig.NameKey = "part"
	config.EncoderConfig.MessageKey = "message"
	config.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger, err := config.Build()
	return logger, eris.Wrap(err, "build the logger")
}

// Named returns the logger of one part of the daemon; a nil logger gives one
// that drops everything.
func Named(logger *zap.Logger, name string) *zap.Logger {
	return LoggerOrNop(logger).Named(name)
}

// LoggerOrNop returns the logger itself, or one that drops everything when it is nil.
func LoggerOrNop(logger *zap.Logger) *zap.Logger {
	if logger == nil {
		return zap.NewNop()
	}
	return logger
}

// ErrorField is the field of an error without its stack trace, which would make the
// volume of the log depend on the failures.
func ErrorField(err error) zap.Field {
	if err == nil {
		return zap.Skip()
	}
	return zap.String("error", err.Error())
}
