/* Orders to an engine that ignores fencing numbers. */
#define ORDERS
#include "lease.inc"
