#!/bin/sh
# A daemon that prints a start line and stops on SIGTERM.
trap 'exit 0' TERM
printf '{"program":"daemon","pid":%s,"addresses":{}}\n' $$
echo "settings $1" >&2
while :; do sleep 0.05; done
