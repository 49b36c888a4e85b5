/* Staging without a condition on the record. */
#define BROKEN_TOKEN
#include "push.inc"
