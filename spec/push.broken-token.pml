/* Stages with a write that is not conditional on the record's token. */
#define BROKEN_TOKEN
#include "push.inc"
