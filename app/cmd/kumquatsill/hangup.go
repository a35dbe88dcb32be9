package main

/*
#include <signal.h>

// The constructor runs before the Go runtime starts, which keeps what is ignored then.
__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
