package note

import (
	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Note is a release note: the changes from one configuration revision to the
// next.
type Note struct {
	// BasedOn is the revision that the note changes. The note is valid only
	// while this revision is in force.
	BasedOn proto.Revision `json:"based_on"`
	// Author and Reason are recorded in the history.
	Author    string    `json:"author,omitempty"`
	Reason    string    `json:"reason,omitempty"`
	Added     Items     `json:"added,omitzero"`
	Changed   Items     `json:"changed,omitzero"`
	Withdrawn Withdrawn `json:"withdrawn,omitzero"`
}

// Items lists the items that a note adds or changes.
type Items struct {
	Accounts  []Account  `json:"accounts,omitempty"`
	Keys      []Key      `json:"keys,omitempty"`
	Endpoints []Endpoint `json:"endpoints,omitempty"`
	Models    []Model    `json:"models,omitempty"`
	Routes    []Route    `json:"routes,omitempty"`
	// Policy replaces the whole policy. It is allowed only in Note.Changed.
	Policy *Policy `json:"policy,omitempty"`
}

// Withdrawn identifies the items that a note removes.
type Withdrawn struct {
	Accounts  []proto.AccountID  `json:"accounts,omitempty"`
	Keys      []proto.KeyHash    `json:"keys,omitempty"`
	Endpoints []proto.EndpointID `json:"endpoints,omitempty"`
	Models    []string           `json:"models,omitempty"`
	Routes    []RouteID          `json:"routes,omitempty"`
}

// RouteID identifies a route.
type RouteID struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}
