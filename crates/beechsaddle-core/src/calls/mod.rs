//! The `calls` module provides the life of each call from arrival to bill.
