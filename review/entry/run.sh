#!/bin/sh
# TROUBLE=0 does the same without the disruption.
exec sh "$(dirname "$0")/../case.sh" "$(dirname "$0")" LeftClient "${TROUBLE:-1}"
