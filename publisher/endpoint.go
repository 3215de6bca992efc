// Package publisher makes the endpoints of services known to every entry VM
// through the store.
package publisher

import (
	"encoding/json"
	"fmt"

	"zinniashore.example/keeper"
)

// Prefix is the key prefix of the endpoint lists, one key a cell.
const Prefix = "watched/endpoints/"

const listFormat = 1

// EndpointState tells whether an endpoint takes new requests.
type EndpointState string

// States of endpoints.
const (
	// EndpointReady takes requests.
	EndpointReady EndpointState = "ready"
	// EndpointLeaving takes no new requests.
	EndpointLeaving EndpointState = "leaving"
)

// Endpoint is one running instance of a service.
type Endpoint struct {
	// Task is the id of the instance, and Attempt its attempt number.
	Task string
	// Attempt is the attempt number of the task.
	Attempt int
	// Organisation owns the service.
	Organisation string
	// Service names the service within its organisation.
	Service string
	// Address is the IP address and port.
	Address string
	// VM is the worker that it runs on.
	VM string
	// FailureDomain is the failure domain of the worker.
	FailureDomain string
	// Slots is how many requests it serves at once.
	Slots int
	// Connections is how many connections it accepts.
	Connections int
	// State tells whether it takes new requests.
	State EndpointState
}

type endpointMessage struct {
	Task          string `json:"task"`
	Attempt       int    `json:"attempt"`
	Organisation  string `json:"organisation"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	VM            string `json:"vm"`
	FailureDomain string `json:"failure_domain"`
	Slots         int    `json:"slots"`
	Connections   int    `json:"connections"`
	State         string `json:"state"`
}

type listMessage struct {
	Format    int               `json:"format"`
	Endpoints []endpointMessage `json:"endpoints"`
}

// EncodeList returns the stored form of the endpoints of a cell.
func EncodeList(endpoints []Endpoint) ([]byte, error) {
	message := listMessage{Format: listFormat}
	for _, e := range endpoints {
		message.Endpoints = append(message.Endpoints, endpointMessage{
			Task: e.Task, Attempt: e.Attempt, Organisation: e.Organisation,
			Service: e.Service, Address: e.Address, VM: e.VM,
			FailureDomain: e.FailureDomain, Slots: e.Slots,
			Connections: e.Connections, State: string(e.State),
		})
	}
	return json.Marshal(message)
}

// DecodeList reads the stored form of the endpoints of a cell.
func DecodeList(content []byte) ([]Endpoint, error) {
	var message listMessage
	if err := json.Unmarshal(content, &message); err != nil {
		return nil, fmt.Errorf("endpoint list: %w", err)
	}
	if message.Format != listFormat {
		return nil, fmt.Errorf("endpoint list: format %d is not %d", message.Format, listFormat)
	}
	var endpoints []Endpoint
	for _, m := range message.Endpoints {
		endpoints = append(endpoints, Endpoint{
			Task: m.Task, Attempt: m.Attempt, Organisation: m.Organisation,
			Service: m.Service, Address: m.Address, VM: m.VM,
			FailureDomain: m.FailureDomain, Slots: m.Slots,
			Connections: m.Connections, State: EndpointState(m.State),
		})
	}
	return endpoints, nil
}

// DecodeEntry reads the endpoints of a cell from an entry of the store. It
// returns a *keeper.FormatError for a document that it can't read.
func DecodeEntry(entry keeper.Entry) ([]Endpoint, error) {
	document, err := keeper.DecodeDocument(entry)
	if err != nil || document.Body == nil {
		return nil, err
	}
	return DecodeList(document.Body)
}
