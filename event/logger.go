package event

import (
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sirupsen/logrus"

	"azureshift/core/id"
)

// Fields are the facts of one line. Their names are in Pascal case.
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

const _defaultPeriod = 10 * time.Second

// Config says who logs and where to.
type Config struct {
	Instance id.Instance
	Domain   id.Domain
	// Output gets the lines.
	Output io.Writer
	// Level is the least level that is logged; it defaults to info.
	Level string
	// JSON writes one JSON object a line in place of text.
	JSON bool
	// Period is the time in which at most Burst lines of one limited event are written; Burst defaults to one.
	Period time.Duration
	Burst  int
	// Now is the clock; it defaults to the system's.
	Now func() time.Time
}

// Logger writes events. It is safe for concurrent use.
type Logger struct {
	entry  *logrus.Entry
	period time.Duration
	burst  int
	now    func() time.Time

	mu      sync.Mutex
	repeats map[Number]repeat
}

type repeat struct {
	event Event
	// logged is when the first line of the period was written, and lines their number since.
	logged     time.Time
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
		repeats: make(map[Number]repeat),
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

// Log writes the event. Of a limited event it writes the first lines of a period, as many as a burst allows; the first
// of the next period tells how many were suppressed before it.
func (logger *Logger) Log(event Event, fields Fields) {
	logger.LogWith(event, func() Fields { return fields })
}

// LogWith writes the event like Log, and makes its fields only if a line is written. It is for events that can come
// with every packet.
func (logger *Logger) LogWith(event Event, fields func() Fields) {
	if !event.Limited {
		logger.write(event, fields(), 0)
		return
	}
	if suppressed, ok := logger.admit(event); ok {
		logger.write(event, fields(), suppressed)
	}
}

// LogError writes the event with the error that caused it.
func (logger *Logger) LogError(event Event, err error, fields Fields) {
	whole := make(Fields, len(fields)+1)
	for name, value := range fields {
		whole[name] = value
	}
	whole[_fieldError] = err
	logger.Log(event, whole)
}

// Flush writes one line for each limited event that was suppressed and whose period is over. Call it from time to
// time, so that the last of a burst is told as well.
func (logger *Logger) Flush() {
	for _, due := range logger.due() {
		logger.write(due.event, nil, due.suppressed)
	}
}

// admit reports whether a line may be written, and how many were suppressed before it.
func (logger *Logger) admit(event Event) (uint64, bool) {
	now := logger.now()
	logger.mu.Lock()
	defer logger.mu.Unlock()
	last, seen := logger.repeats[event.Number]
	if !seen || now.Sub(last.logged) >= logger.period {
		logger.repeats[event.Number] = repeat{event: event, logged: now, lines: 1}
		return last.suppressed, true
	}
	if last.lines < logger.burst {
		last.lines++
		logger.repeats[event.Number] = last
		return 0, true
	}
	last.suppressed++
	logger.repeats[event.Number] = last
	return 0, false
}

func (logger *Logger) due() []repeat {
	now := logger.now()
	logger.mu.Lock()
	defer logger.mu.Unlock()
	var due []repeat
	for _, event := range _catalogue {
		last := logger.repeats[event.Number]
		if last.suppressed > 0 && now.Sub(last.logged) >= logger.period {
			due = append(due, last)
			logger.repeats[event.Number] = repeat{event: event, logged: now, lines: 1}
		}
	}
	return due
}

func (logger *Logger) write(event Event, fields Fields, suppressed uint64) {
	if !logger.entry.Logger.IsLevelEnabled(event.Level) {
		return
	}
	line := logger.entry.WithFields(Fields{_fieldEvent: int(event.Number), _fieldName: event.Name})
	if event.Remedy != _nothing {
		line = line.WithField(_fieldRemedy, event.Remedy)
	}
	if suppressed > 0 {
		line = line.WithField(_fieldSuppressed, suppressed)
	}
	line.WithFields(fields).Log(event.Level, event.Text)
}
