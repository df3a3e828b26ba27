#!/bin/sh
# TROUBLE=0 does the same without the disruption.
exec sh "$(dirname "$0")/../case.sh" "$(dirname "$0")" HalfCommands "${TROUBLE:-1}"
