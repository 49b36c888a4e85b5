/* Aborts with an unconditional write of the record. */
#define BROKEN_ABORT
#include "push.inc"
