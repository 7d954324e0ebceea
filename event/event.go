// Package event defines the numbered log events and the logger that writes them.
package event

import (
	"slices"

	"github.com/sirupsen/logrus"
)

// Number identifies an event. The number of a removed event is not used again.
type Number int

// Event is a kind of log line. docs/EVENTS.md lists all events.
type Event struct {
	Number Number
	// Name is the name of the variable that holds the event.
	Name  string
	Level logrus.Level
	// Text is the message of the line: what happened.
	Text string
	// Remedy is what an operator should do about it.
	Remedy string
	// Limited marks an event that traffic can cause, so that the rate of its lines is limited.
	Limited bool
}

const (
	_info  = logrus.InfoLevel
	_warn  = logrus.WarnLevel
	_error = logrus.ErrorLevel
)

const _noRemedy = "Nothing."

var _catalogue []Event

// All returns all events in ascending order of their numbers.
func All() []Event {
	return slices.Clone(_catalogue)
}

// define adds an event to the list of all events.
func define(number Number, name string, level logrus.Level, text, remedy string) Event {
	defined := Event{Number: number, Name: name, Level: level, Text: text, Remedy: remedy}
	_catalogue = append(_catalogue, defined)
	return defined
}

// defineLimited adds an event whose rate is limited, as traffic can cause it.
func defineLimited(number Number, name string, level logrus.Level, text, remedy string) Event {
	defined := define(number, name, level, text, remedy)
	defined.Limited = true
	_catalogue[len(_catalogue)-1] = defined
	return defined
}
