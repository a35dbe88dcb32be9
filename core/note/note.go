package note

import (
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Note is a release note: the changes that lead from one revision to the next.
type Note struct {
	// BasedOn is the revision that the operator saw.
	BasedOn proto.Revision `json:"based_on"`
	// Author and Reason go into the history.
	Author    string    `json:"author,omitempty"`
	Reason    string    `json:"reason,omitempty"`
	Added     Items     `json:"added,omitzero"`
	Changed   Items     `json:"changed,omitzero"`
	Withdrawn Withdrawn `json:"withdrawn,omitzero"`
}

// Items lists things that a note adds or changes.
type Items struct {
	Accounts  []Account  `json:"accounts,omitempty"`
	Keys      []Key      `json:"keys,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	Models    []Model    `json:"models,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	// Policy replaces the whole policy; only a change may carry it.
	Policy *Policy `json:"policy,omitempty"`
}

// Withdrawn names things that a note removes.
type Withdrawn struct {
	Accounts  []proto.AccountID  `json:"accounts,omitempty"`
	Keys      []proto.KeyHash    `json:"keys,omitempty"`
	Endpoints []proto.EndpointID `json:"endpoints,omitempty"`
	Models    []string           `json:"models,omitempty"`
	Routes    []RouteID          `json:"routes,omitempty"`
}

// RouteID names a route.
type RouteID struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}
