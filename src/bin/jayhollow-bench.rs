//! The bench's program.

fn main() {}
