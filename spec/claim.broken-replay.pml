/* Records the outcome before there is an answer.
   Must violate: a replay is of a request that ran. */
#define BREAK_REPLAY
#include "claim.inc"
