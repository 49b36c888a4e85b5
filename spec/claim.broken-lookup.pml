/* Looks up the request without passing the new fencing number to the service.
   Must violate: "runs at most once". */
#define BREAK_LOOKUP
#define FENCED
#include "claim.inc"
