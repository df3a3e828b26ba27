#!/bin/bash
exec "$(dirname "$0")/../case-2.sh" 9 ForgottenRole
