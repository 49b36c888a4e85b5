/* A service that checks fencing numbers and has a look-up path. */
#define FENCED
#define FAULTS 4
#include "claim.inc"
