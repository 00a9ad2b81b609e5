"""Small benchmarks, one file each, that measure how a cost grows with a size."""
