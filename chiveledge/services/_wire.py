"""Paths, headers and status codes in calls to the platform's services."""

from __future__ import annotations

TABLE_READ = "/v1/row"
TABLE_SCAN = "/v1/rows"
TABLE_TRANSACT = "/v1/transactions"
OBJECTS = "/v1/objects"
HOSTS = "/v1/hosts"
WORKER_SYNC = "/v1/sync"
WORKER_RESERVE = "/v1/reserve"
WORKER_START = "/v1/start"
WORKER_STOP = "/v1/stop"
WORKER_CHECKPOINT = "/v1/checkpoint"
WORKER_THROTTLE = "/v1/throttle"
WORKER_FORGET = "/v1/forget"
MINION_RUN = "/v1/run"
HEADER_REQUEST_ID = "X-Request-Id"
HEADER_DEADLINE_MS = "X-Deadline-Ms"
HEADER_KIND = "X-Kind"
HEADER_RUNNING = "X-Running"
MINION_BUSY_STATUS = 429
