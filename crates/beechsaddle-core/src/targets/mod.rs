//! The `targets` module provides which target gets a call.
