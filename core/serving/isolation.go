package serving

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/kumquatsill/kumquatsill/core/proto"
)

// Prefixes that keep an account's own namespace apart from every shared one.
const (
	ownPrefix    = "="
	sharedPrefix = "~"
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
	hash := sha256.New()
	isolated := false
	for _, id := range slices.Sorted(maps.Keys(accounts)) {
		if accounts[id].Isolated {
			_, _ = fmt.Fprintf(hash, "%q", id) // writes to a hash never fail
			isolated = true
		}
	}
	if !isolated {
		return ""
	}
	return fmt.Sprintf("%s%x", sharedPrefix, hash.Sum(nil)[:8])
}
