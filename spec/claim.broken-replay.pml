/* Records the outcome before the response has arrived.
   Must violate: a replay is of a request that ran. */
#define BREAK_REPLAY
#include "claim.inc"
