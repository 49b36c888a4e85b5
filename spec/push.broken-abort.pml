/* An abort without a condition on the record. */
#define BROKEN_ABORT
#include "push.inc"
