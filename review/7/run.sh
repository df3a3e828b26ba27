#!/bin/bash
exec "$(dirname "$0")/../case-2.sh" 7 EndedInput
