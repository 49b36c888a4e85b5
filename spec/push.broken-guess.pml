/* A pusher takes a higher number for its own success. */
#define BROKEN_GUESS
#include "push.inc"
