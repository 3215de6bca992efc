// Package logger routes the log of go-zero into klog and writes log lines without
// blocking.
package logger

import (
	"fmt"
	"strings"

	"github.com/zeromicro/go-zero/core/logx"
	"k8s.io/klog/v2"
)

const (
	callDepth  = 1
	debugLevel = 4
	infoLevel  = 2

	// clientPrefix is the prefix of the log lines of go-zero's HTTP client.
	clientPrefix = "[HTTP]"
)

// Writer is a logx.Writer that writes structured log lines to klog.
type Writer struct{}

// Install makes Writer the destination of go-zero's log. It calls logx.SetUp first,
// because a later set-up would replace the writer.
func Install() error {
	if err := logx.SetUp(logx.LogConf{}); err != nil {
		return err
	}
	logx.SetWriter(Writer{})
	logx.DisableStat()
	if !klog.V(infoLevel).Enabled() {
		// Otherwise the library formats a line for each request of its HTTP client.
		logx.SetLevel(logx.ErrorLevel)
	}
	return nil
}

// Alert implements logx.Writer.
func (Writer) Alert(v any) { logError("alert", v) }

// Close implements logx.Writer.
func (Writer) Close() error { return nil }

// Debug implements logx.Writer.
func (Writer) Debug(v any, fields ...logx.LogField) { logInfo(debugLevel, v, fields) }

// Error implements logx.Writer.
//
// Failed calls of the HTTP client are logged at the info level only, because the callers
// report them.
func (Writer) Error(v any, fields ...logx.LogField) {
	if strings.HasPrefix(fmt.Sprint(v), clientPrefix) {
		logInfo(infoLevel, v, fields)
		return
	}
	logError("error", v, fields...)
}

// Info implements logx.Writer.
func (Writer) Info(v any, fields ...logx.LogField) { logInfo(infoLevel, v, fields) }

// Severe implements logx.Writer.
func (Writer) Severe(v any) { logError("severe", v) }

// Slow implements logx.Writer.
func (Writer) Slow(v any, fields ...logx.LogField) { logInfo(infoLevel, v, fields) }

// Stack implements logx.Writer.
func (Writer) Stack(v any) { logError("stack", v) }

// Stat implements logx.Writer.
func (Writer) Stat(v any, fields ...logx.LogField) { logInfo(debugLevel, v, fields) }

func logInfo(level klog.Level, v any, fields []logx.LogField) {
	if klog.V(level).Enabled() {
		klog.InfoSDepth(callDepth, "HTTP library", pairs(v, fields)...)
	}
}

func logError(kind string, v any, fields ...logx.LogField) {
	arguments := append([]any{"kind", kind}, pairs(v, fields)...)
	klog.ErrorSDepth(callDepth, nil, "HTTP library", arguments...)
}

func pairs(v any, fields []logx.LogField) []any {
	arguments := []any{"message", fmt.Sprint(v)}
	for _, field := range fields {
		arguments = append(arguments, field.Key, field.Value)
	}
	return arguments
}
