// Package demo runs a whole deployment on loopback with embedded stand-ins and reports violated guarantees.
package demo

import (
	"time"

	"azureshift/core/id"
)

// Deployment describes one customer's system.
type Deployment struct {
	Customer  id.Customer
	Region    id.Region
	Domains   []id.Domain
	Instances int
	Services  []Service
}

// Service describes one service of a deployment.
type Service struct {
	Name        id.Service
	Targets     int
	Slots       int
	Connections int
	// ServiceTime is the time that a target takes for one order or one block of an export.
	ServiceTime time.Duration
	// OrderShare is the offered load of orders as a share of the capacity of the service's slots.
	OrderShare float64
	// Exports is the number of concurrent callers, each of which fetches one export after another.
	Exports int
}

// Valtellina returns the deployment of Azienda Servizi Comunali Valtellina at today's sizes.
func Valtellina() Deployment {
	return Deployment{
		Customer:  "Valtellina",
		Region:    "sondrio",
		Domains:   []id.Domain{"morbegno", "tirano", "chiavenna"},
		Instances: 15,
		Services: []Service{
			{
				Name: "chiosco", Targets: 14, Slots: 3, Connections: 4300,
				ServiceTime: 50 * time.Millisecond, OrderShare: 0.2,
			},
			{
				Name: "stampa", Targets: 4, Slots: 3, Connections: 4300,
				ServiceTime: 50 * time.Millisecond, OrderShare: 0.2, Exports: 2,
			},
		},
	}
}

// Anahuac returns the deployment of Tesorería Nube Anáhuac at today's sizes.
func Anahuac() Deployment {
	return Deployment{
		Customer:  "Anahuac",
		Region:    "mx-centro",
		Domains:   []id.Domain{"mxc-a", "mxc-b", "mxc-c"},
		Instances: 18,
		Services: []Service{
			{
				Name: "tesoreria-live", Targets: 14, Slots: 2, Connections: 4500,
				ServiceTime: 50 * time.Millisecond, OrderShare: 0.2,
			},
			{
				Name: "estados-pool", Targets: 4, Slots: 2, Connections: 4500,
				ServiceTime: 50 * time.Millisecond, OrderShare: 0.1, Exports: 2,
			},
		},
	}
}
