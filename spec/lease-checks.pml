/* Orders to an engine that refuses old fencing numbers. */
#define ORDERS
#define CHECKS
#include "lease.inc"
