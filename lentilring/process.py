"""The proxy process: creates the services, joins them and drives their life cycle."""

from .telemetry.log import Log

ADMIN_THREADS = 4

log = Log(source="process")
