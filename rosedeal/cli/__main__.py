"""`python -m rosedeal.cli`, where the command is not on the path."""

from rosedeal.cli.main import main

raise SystemExit(main())
