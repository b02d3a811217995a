//! The simulator adapter: what it reads and writes, and its errors for malformed input.

mod hostile;
mod lines;
mod messages;
