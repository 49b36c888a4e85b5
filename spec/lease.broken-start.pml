/* Counts the lease duration from the end of a write.
   Must violate: at most one host holds the lease at any time. */
#define BREAK_START
#include "lease.inc"
