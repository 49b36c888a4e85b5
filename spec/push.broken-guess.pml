/* A pusher treats a higher generation number as its own success. */
#define BROKEN_GUESS
#include "push.inc"
