#!/bin/sh
exec sh "$(dirname "$0")/../case.sh" "$(dirname "$0")" LeftClient
