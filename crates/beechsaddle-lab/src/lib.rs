//! beechsaddle-lab
