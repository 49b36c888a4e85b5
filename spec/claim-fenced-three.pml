/* A service that checks fencing numbers and says what it ran. */
#define FENCED
#define HOSTS 3
#define FAULTS 1
#include "claim.inc"
