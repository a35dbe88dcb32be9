package serving

import (
	"crypto/sha256"
	"fmt"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

const (
	// ownPrefix and sharedPrefix keep an account's own namespace apart from shared ones.
	ownPrefix, sharedPrefix = "=", "~"
	// sharedHashBytes is the length of the hash that stands for a set of accounts.
	sharedHashBytes = 8
)

// CacheNamespace returns the namespace of the cache entries that a request of an account, or
// of none if a is nil, may make and use. An account that is isolated in this configuration,
// or was when its request was admitted, has one of its own. All others share one.
func (c *Config) CacheNamespace(a *Account) string {
	if a == nil {
		return c.sharedNamespace
	}
	current := c.Accounts[a.ID]
	if a.Isolated || current != nil && current.Isolated {
		return ownPrefix + string(a.ID)
	}
	return c.sharedNamespace
}

// sharedNamespace depends on which accounts are isolated, so that it has no entries that one
// of them made before. It is empty if none is.
func sharedNamespace(accounts map[proto.AccountID]*Account) string {
	var isolated []proto.AccountID
	for id, a := range accounts {
		if a.Isolated {
			isolated = append(isolated, id)
		}
	}
	if len(isolated) == 0 {
		return ""
	}
	slices.Sort(isolated)
	sum := sha256.Sum256(fmt.Appendf(nil, "%q", isolated))
	return fmt.Sprintf("%s%x", sharedPrefix, sum[:sharedHashBytes])
}
