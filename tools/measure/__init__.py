"""Parts of the measurements that tools/measure.py runs."""
