/* Does not detect a pause before sending, with an engine that ignores fencing
   numbers. Must violate: a former holder does no harm. */
#define ORDERS
#define BREAK_PAUSE
#include "lease.inc"
