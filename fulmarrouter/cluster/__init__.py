"""Scheduling of jobs made of steps and tasks over a fleet of workers."""
