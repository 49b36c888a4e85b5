/* Pushes of a manifest: see push.inc. */
#include "push.inc"
