/* Gives orders at once after a takeover, to an engine that ignores numbers.
   Must violate: an old holder does no harm. */
#define ORDERS
#define BREAK_QUIET
#include "lease.inc"
