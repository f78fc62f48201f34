"""The terminal console: words, a model and a view that are pure, and a Textual application round them.

Importing this package imports no library: `badgergap.console.app` alone needs Textual.
"""
