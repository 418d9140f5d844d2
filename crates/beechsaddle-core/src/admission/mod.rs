//! The `admission` module provides limits, load shedding and the retry budget.
