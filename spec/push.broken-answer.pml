/* After a lost answer the pusher says NotAccepted. */
#define BROKEN_ANSWER
#include "push.inc"
