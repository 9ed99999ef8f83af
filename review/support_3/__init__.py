"""Stand-ins of the users' platform, for the scripts of review/11 to review/15."""
