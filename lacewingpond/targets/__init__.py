"""The targets' side: bounded connections and truthful send errors."""
