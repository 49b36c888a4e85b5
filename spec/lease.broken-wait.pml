/* Takes over before the former lease is sure to have expired.
   Must violate: at most one host holds the lease at any time. */
#define BREAK_WAIT
#include "lease.inc"
