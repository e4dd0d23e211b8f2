#!/usr/bin/env bash
# TROUBLE=0 leaves out the disruption.
export TROUBLE=${TROUBLE:-1}
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case.sh" aged "$here"
