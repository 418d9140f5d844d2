//! beechsaddle
