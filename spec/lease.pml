/* The lease alone, over a table that loses and delays writes. */
#include "lease.inc"
