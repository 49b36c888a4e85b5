/* Orders to an engine that refuses stale fencing numbers. */
#define ORDERS
#define CHECKS
#include "lease.inc"
