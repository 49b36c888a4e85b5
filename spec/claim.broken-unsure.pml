/* Sends after a claim whose write got no answer.
   Must violate: "runs at most once". */
#define BREAK_UNSURE
#include "claim.inc"
