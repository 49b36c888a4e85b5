/* A pause before sending goes unnoticed, with an engine that ignores numbers.
   Must violate: an old holder does no harm. */
#define ORDERS
#define BREAK_PAUSE
#include "lease.inc"
