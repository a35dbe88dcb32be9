package note

import (
	"maps"
	"slices"
)

// Apply returns the configuration after n, at the next revision. It fails
// without effect unless Check accepts the note.
func Apply(base *Config, n Note) (*Config, error) {
	if err := Check(base, n); err != nil {
		return nil, err
	}
	next := &Config{
		Revision:  base.Revision + 1,
		Accounts:  maps.Clone(base.Accounts),
		Keys:      maps.Clone(base.Keys),
		Endpoints: maps.Clone(base.Endpoints),
		Models:    maps.Clone(base.Models),
		Routes:    slices.Clone(base.Routes),
		Policy:    base.Policy,
	}
	next.withdraw(n.Withdrawn)
	next.put(n.Added)
	next.put(n.Changed)
	return next, nil
}

func (c *Config) withdraw(w Withdrawn) {
	for _, id := range w.Accounts {
		delete(c.Accounts, id)
	}
	for _, hash := range w.Keys {
		delete(c.Keys, hash)
	}
	for _, id := range w.Endpoints {
		delete(c.Endpoints, id)
	}
	for _, name := range w.Models {
		delete(c.Models, name)
	}
	c.Routes = slices.DeleteFunc(c.Routes, func(r Route) bool {
		return slices.Contains(w.Routes, RouteID{Method: r.Method, Path: r.Path})
	})
}

func (c *Config) put(items Items) {
	for _, a := range items.Accounts {
		c.Accounts[a.ID] = a
	}
	for _, k := range items.Keys {
		c.Keys[k.Hash] = k
	}
	for _, e := range items.Endpoints {
		c.Endpoints[e.ID] = e
	}
	for _, m := range items.Models {
		c.Models[m.Name] = m
	}
	for _, r := range items.Routes {
		c.putRoute(r)
	}
	if items.Policy != nil {
		c.Policy = items.Policy.withDefaults()
	}
}

func (c *Config) putRoute(r Route) {
	same := func(other Route) bool { return other.Method == r.Method && other.Path == r.Path }
	if i := slices.IndexFunc(c.Routes, same); i >= 0 {
		c.Routes[i] = r
		return
	}
	c.Routes = append(c.Routes, r)
}

func (p Policy) withDefaults() Policy {
	d := DefaultPolicy()
	if p.TailWeight == 0 && p.HitWeight == 0 {
		p.TailWeight, p.HitWeight = d.TailWeight, d.HitWeight
	}
	if p.MaxLoads == 0 {
		p.MaxLoads = d.MaxLoads
	}
	if p.IntentShards == 0 {
		p.IntentShards = d.IntentShards
	}
	if p.StaticSlots == 0 {
		p.StaticSlots = d.StaticSlots
	}
	if p.Quarantine == 0 {
		p.Quarantine = d.Quarantine
	}
	return p
}
