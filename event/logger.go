package event

import (
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"azureshift/core/id"
)

// Fields are the structured fields of one line. Their names are in Pascal case.
type Fields = logrus.Fields

const (
	_fieldEvent      = "Event"
	_fieldName       = "Name"
	_fieldInstance   = "Instance"
	_fieldDomain     = "Domain"
	_fieldError      = "Error"
	_fieldRemedy     = "Remedy"
	_fieldSuppressed = "Suppressed"
)

const (
	_defaultPeriod = 10 * time.Second
	// _maxErrorText is the length in bytes from which the text of an error is cut.
	_maxErrorText = 1024
)

// Config configures a Logger.
type Config struct {
	Instance id.Instance
	Domain   id.Domain
	// Output is where lines are written; they are discarded by default.
	Output io.Writer
	// Level is the lowest level that is logged; it defaults to info.
	Level string
	// JSON selects one JSON object per line instead of text.
	JSON bool
	// Period is the time in which at most Burst lines of one limited event are written; it defaults to ten seconds and
	// Burst to one.
	Period time.Duration
	Burst  int
	// Now is the clock; it defaults to time.Now.
	Now func() time.Time
}

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	entry  *logrus.Entry
	period time.Duration
	burst  int
	now    func() time.Time

	mu      sync.Mutex
	windows map[Number]rateWindow
}

type rateWindow struct {
	event Event
	// start is when the first line of the period was written, and lines the number of lines written since.
	start      time.Time
	lines      int
	suppressed uint64
}

// NewLogger returns a logger for one entry instance.
func NewLogger(config Config) (*Logger, error) {
	config = config.withDefaults()
	level, err := logrus.ParseLevel(config.Level)
	if err != nil {
		return nil, eris.Wrapf(err, "set up log with level %q; use error, warning, info or debug", config.Level)
	}
	log := logrus.New()
	log.SetOutput(config.Output)
	log.SetLevel(level)
	if config.JSON {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	}
	return &Logger{
		entry:   log.WithFields(Fields{_fieldInstance: config.Instance, _fieldDomain: config.Domain}),
		period:  config.Period,
		burst:   config.Burst,
		now:     config.Now,
		windows: make(map[Number]rateWindow),
	}, nil
}

func (config Config) withDefaults() Config {
	if config.Output == nil {
		config.Output = io.Discard
	}
	if config.Level == "" {
		config.Level = logrus.InfoLevel.String()
	}
	if config.Period == 0 {
		config.Period = _defaultPeriod
	}
	if config.Burst == 0 {
		config.Burst = 1
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	return config
}

// Log writes the event. Of a limited event it writes only the first Burst lines of a period; the first line of the next
// period holds the number of lines suppressed before it.
func (logger *Logger) Log(event Event, fields Fields) {
	logger.LogLazy(event, func() Fields { return fields })
}

// LogLazy writes the event like Log, but calls fields only if a line is written. It is for events that can occur with
// every packet.
func (logger *Logger) LogLazy(event Event, fields func() Fields) {
	if !event.Limited {
		logger.write(event, fields(), 0)
		return
	}
	if suppressed, ok := logger.allow(event); ok {
		logger.write(event, fields(), suppressed)
	}
}

// LogError writes the event like Log, with the error that caused it as an additional field.
func (logger *Logger) LogError(event Event, err error, fields Fields) {
	withError := make(Fields, len(fields)+1)
	for name, value := range fields {
		withError[name] = value
	}
	withError[_fieldError] = boundedError{err}
	logger.Log(event, withError)
}

// boundedError limits the text of an error, which may quote what came from outside.
type boundedError struct{ error }

// Error returns the beginning of the error's text.
func (bounded boundedError) Error() string {
	if bounded.error == nil {
		return ""
	}
	text := bounded.error.Error()
	if len(text) <= _maxErrorText {
		return text
	}
	return text[:_maxErrorText] + "..."
}

// Flush writes one line for each limited event whose period is over and that had lines suppressed in it. Call it
// regularly, so that suppressed lines are reported even if the event does not occur again.
func (logger *Logger) Flush() {
	for _, window := range logger.takeExpired() {
		logger.write(window.event, nil, window.suppressed)
	}
}

// allow reports whether a line may be written, and returns how many were suppressed before it.
func (logger *Logger) allow(event Event) (uint64, bool) {
	now := logger.now()
	logger.mu.Lock()
	defer logger.mu.Unlock()
	window, seen := logger.windows[event.Number]
	if !seen || now.Sub(window.start) >= logger.period {
		logger.windows[event.Number] = rateWindow{event: event, start: now, lines: 1}
		return window.suppressed, true
	}
	if window.lines < logger.burst {
		window.lines++
		logger.windows[event.Number] = window
		return 0, true
	}
	window.suppressed++
	logger.windows[event.Number] = window
	return 0, false
}

func (logger *Logger) takeExpired() []rateWindow {
	now := logger.now()
	logger.mu.Lock()
	defer logger.mu.Unlock()
	var expired []rateWindow
	for _, event := range _catalogue {
		window := logger.windows[event.Number]
		if window.suppressed > 0 && now.Sub(window.start) >= logger.period {
			expired = append(expired, window)
			logger.windows[event.Number] = rateWindow{event: event, start: now, lines: 1}
		}
	}
	return expired
}

func (logger *Logger) write(event Event, fields Fields, suppressed uint64) {
	if !logger.entry.Logger.IsLevelEnabled(event.Level) {
		return
	}
	line := logger.entry.WithFields(Fields{_fieldEvent: int(event.Number), _fieldName: event.Name})
	if event.Remedy != _noRemedy {
		line = line.WithField(_fieldRemedy, event.Remedy)
	}
	if suppressed > 0 {
		line = line.WithField(_fieldSuppressed, suppressed)
	}
	line.WithFields(fields).Log(event.Level, event.Text)
}
