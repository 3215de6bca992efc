// Package publisher defines the stored form of the endpoint lists through which every
// entry VM discovers the endpoints of services.
package publisher

import (
	"encoding/json"
	"fmt"

	"zinniashore.example/keeper"
)

// Prefix is the prefix of the store keys of the endpoint lists, one key for each cell.
const Prefix = "watched/endpoints/"

const listFormat = 1

// EndpointState is the readiness of an endpoint for new requests.
type EndpointState string

// States of endpoints.
const (
	// EndpointReady is the state of an endpoint that accepts requests.
	EndpointReady EndpointState = "ready"
	// EndpointLeaving is the state of an endpoint that accepts no new requests.
	EndpointLeaving EndpointState = "leaving"
)

// Endpoint is one running instance of a service.
type Endpoint struct {
	// Task is the id of the task that runs the instance.
	Task string
	// Attempt is the attempt number of the task.
	Attempt int
	// Organisation owns the service.
	Organisation string
	// Service is the name of the service within its organisation.
	Service string
	// Address is the IP address and port of the endpoint.
	Address string
	// VM is the id of the worker that runs the instance.
	VM string
	// FailureDomain is the failure domain of the worker.
	FailureDomain string
	// Slots is the number of requests that the endpoint serves concurrently.
	Slots int
	// Connections is the number of connections that the endpoint accepts.
	Connections int
	// State is the readiness for new requests.
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

// EncodeList encodes the endpoints of a cell for the store.
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

// DecodeList decodes the endpoints of a cell. It fails for an unsupported format.
func DecodeList(content []byte) ([]Endpoint, error) {
	var message listMessage
	if err := json.Unmarshal(content, &message); err != nil {
		return nil, fmt.Errorf("endpoint list: %w", err)
	}
	if message.Format != listFormat {
		return nil, fmt.Errorf("endpoint list: format is %d, only %d is supported", message.Format, listFormat)
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

// DecodeEntry decodes the endpoints of a cell from an entry of the store. It returns a
// *keeper.FormatError for a document that can't be decoded, and no endpoints for a
// document without a body.
func DecodeEntry(entry keeper.Entry) ([]Endpoint, error) {
	document, err := keeper.DecodeDocument(entry)
	if err != nil || document.Body == nil {
		return nil, err
	}
	return DecodeList(document.Body)
}
