#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the trial could not run. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
. "$folder/../trial.sh"
