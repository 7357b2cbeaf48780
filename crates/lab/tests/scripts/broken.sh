#!/bin/sh
# A daemon that refuses its settings.
echo "no such field" >&2
exit 1
