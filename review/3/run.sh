#!/bin/bash
# TROUBLE=0 runs the same without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
. "$folder/../case.sh" keyed_late_connection "$folder"
