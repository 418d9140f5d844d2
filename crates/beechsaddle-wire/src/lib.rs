//! beechsaddle-wire
