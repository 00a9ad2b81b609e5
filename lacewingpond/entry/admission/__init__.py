"""Admission of requests to loaded services: thresholds by class, and waiting queues."""
