/* The lease without orders, over a table that loses and delays writes. */
#include "lease.inc"
