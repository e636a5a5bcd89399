#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the bad clients.
PYTHONDONTWRITEBYTECODE=1 python3 "$(dirname "$0")/case.py"
case $? in 0) exit 0 ;; 10) exit 1 ;; *) exit 2 ;; esac
