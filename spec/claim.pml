/* A service that neither checks fencing numbers nor can be asked. */
#define HOSTS 3
#include "claim.inc"
