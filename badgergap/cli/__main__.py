"""`python -m badgergap.cli`, where the command is not on the path."""

from badgergap.cli.main import main

raise SystemExit(main())
