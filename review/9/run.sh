#!/bin/bash
# TROUBLE=0 does the same without the disruption.
exec "$(dirname "$0")/../case-2.sh" 9 ForgottenRole "${TROUBLE:-1}"
