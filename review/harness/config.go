package main

// Tenant is a tenant of the configuration.
type Tenant struct {
	Name, Key string
	Isolated  bool
	Rate      int
}

const (
	host      = "desk.example"
	llm       = "huvo11a"
	desk      = "gowu98c"
	model     = "daka510000"
	bodyLimit = 4194304
)

// config returns a configuration like that of kcm-ops.
func config(version int, tenants ...Tenant) map[string]any {
	route := func(name, kind, service string, timeoutMs, targetMs, attempts int, resumable bool) map[string]any {
		return map[string]any{"name": name, "host": host, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeoutMs,
			"targetLatencyMs": targetMs, "priority": 1, "service": service, "attempts": attempts, "public": false,
			"stickySessions": service == llm, "resumable": resumable, "gapTargetMs": 400}
	}
	var list []any
	for _, t := range tenants {
		list = append(list, map[string]any{"name": t.Name, "accessKeys": []string{t.Key}, "priority": 1, "unit": "tokens", "uncachedTokens": 200,
			"isolated": t.Isolated, "ratePerS": t.Rate, "burst": t.Rate})
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("verdict", "streaming", llm, 6000, 800, 2, true), route("draft", "streaming", llm, 15000, 500, 1, false),
			route("booking", "unsafe", desk, 800, 150, 1, false), route("lookup", "safe", desk, 800, 150, 2, false),
		},
		"services": []any{
			map[string]any{"name": llm, "healthCheckPath": "/health", "connectionLimit": 370, "protocol": "h1", "transportSecurity": false,
				"engine": map[string]any{"slots": 64, "cacheTokens": 105402, "tokenCacheBytes": 163840, "linkMbps": 550000.0, "moves": true,
					"backups": true, "stride": 3, "concurrencyLimit": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handle_s": 5.0,
					"models": []any{map[string]any{"name": model}}}},
			map[string]any{"name": desk, "healthCheckPath": "/health", "connectionLimit": 110, "protocol": "h1", "transportSecurity": false},
		},
		"limits":  map[string]any{"headerBytes": 16384, "bodyBytes": bodyLimit, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": list,
	}
}
