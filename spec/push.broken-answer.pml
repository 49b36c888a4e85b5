/* A pusher reports NotAccepted after a lost answer. */
#define BROKEN_ANSWER
#include "push.inc"
