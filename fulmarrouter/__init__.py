"""Scheduler for latency-critical services and batch work on shared VMs."""

VERSION = "0.1.0"
