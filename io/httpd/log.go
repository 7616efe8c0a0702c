package httpd

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"

	"github.com/cloudwego/hertz/pkg/common/hlog"
)

var redirectOnce sync.Once

// redirectLogs makes hertz log through log/slog.
func redirectLogs() {
	redirectOnce.Do(func() { hlog.SetLogger(logger{}) })
}

// logger implements hertz's logger with log/slog. Lines up to the Notice level
// become debug lines, because hertz logs routine events there.
type logger struct{}

var _ hlog.FullLogger = logger{}

func (logger) log(level slog.Level, text string) {
	slog.Default().Log(context.Background(), level, "http_library", "text", text)
}

func (l logger) Trace(v ...any)  { l.log(slog.LevelDebug, fmt.Sprint(v...)) }
func (l logger) Debug(v ...any)  { l.log(slog.LevelDebug, fmt.Sprint(v...)) }
func (l logger) Info(v ...any)   { l.log(slog.LevelDebug, fmt.Sprint(v...)) }
func (l logger) Notice(v ...any) { l.log(slog.LevelDebug, fmt.Sprint(v...)) }
func (l logger) Warn(v ...any)   { l.log(slog.LevelWarn, fmt.Sprint(v...)) }
func (l logger) Error(v ...any)  { l.log(slog.LevelWarn, fmt.Sprint(v...)) }
func (l logger) Fatal(v ...any)  { l.log(slog.LevelError, fmt.Sprint(v...)) }

func (l logger) Tracef(f string, v ...any)  { l.log(slog.LevelDebug, fmt.Sprintf(f, v...)) }
func (l logger) Debugf(f string, v ...any)  { l.log(slog.LevelDebug, fmt.Sprintf(f, v...)) }
func (l logger) Infof(f string, v ...any)   { l.log(slog.LevelDebug, fmt.Sprintf(f, v...)) }
func (l logger) Noticef(f string, v ...any) { l.log(slog.LevelDebug, fmt.Sprintf(f, v...)) }
func (l logger) Warnf(f string, v ...any)   { l.log(slog.LevelWarn, fmt.Sprintf(f, v...)) }
func (l logger) Errorf(f string, v ...any)  { l.log(slog.LevelWarn, fmt.Sprintf(f, v...)) }
func (l logger) Fatalf(f string, v ...any)  { l.log(slog.LevelError, fmt.Sprintf(f, v...)) }

func (l logger) CtxTracef(_ context.Context, f string, v ...any)  { l.Tracef(f, v...) }
func (l logger) CtxDebugf(_ context.Context, f string, v ...any)  { l.Debugf(f, v...) }
func (l logger) CtxInfof(_ context.Context, f string, v ...any)   { l.Infof(f, v...) }
func (l logger) CtxNoticef(_ context.Context, f string, v ...any) { l.Noticef(f, v...) }
func (l logger) CtxWarnf(_ context.Context, f string, v ...any)   { l.Warnf(f, v...) }
func (l logger) CtxErrorf(_ context.Context, f string, v ...any)  { l.Errorf(f, v...) }
func (l logger) CtxFatalf(_ context.Context, f string, v ...any)  { l.Fatalf(f, v...) }

// SetLevel does nothing: log/slog decides which levels are logged.
func (logger) SetLevel(hlog.Level) {}

// SetOutput does nothing: log/slog decides where lines are written.
func (logger) SetOutput(io.Writer) {}
