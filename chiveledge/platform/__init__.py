"""Adapter between the users' platform and the product.

It only translates: other packages don't know the platform's wire names.
"""

from __future__ import annotations
