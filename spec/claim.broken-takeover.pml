/* Takes over a claim although the service does not check fencing numbers.
   Must violate: "runs at most once". */
#define BREAK_TAKEOVER
#include "claim.inc"
