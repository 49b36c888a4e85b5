/* Gives orders immediately after a takeover, to an engine that ignores fencing
   numbers. Must violate: a former holder does no harm. */
#define ORDERS
#define BREAK_QUIET
#include "lease.inc"
