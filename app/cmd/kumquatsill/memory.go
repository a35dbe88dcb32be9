package main

import (
	"cmp"
	"os"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/kumquatsill/kumquatsill/core/membudget"
)

// processLimitFile holds the memory limit of the control group that a process sees as its
// root, as in a container.
const processLimitFile = "/sys/fs/cgroup/memory.max"

// memoryLimitOfProcess returns the memory limit that the process sees, or 0 if there is none.
func memoryLimitOfProcess() int64 {
	data, err := os.ReadFile(processLimitFile)
	if err != nil {
		return 0
	}
	limit, err := strconv.ParseInt(strings.TrimSpace(string(data)), 10, 64)
	if err != nil {
		return 0 // "max" stands for no limit
	}
	return limit
}

// applyMemoryLimit gives the Go runtime its soft limit and returns the memory limit: that of
// the settings, else the one that the process sees, else 0.
func applyMemoryLimit(settings int64) int64 {
	memory := cmp.Or(settings, memoryLimitOfProcess())
	if memory > 0 {
		debug.SetMemoryLimit(membudget.GoLimit(memory))
	}
	return memory
}
