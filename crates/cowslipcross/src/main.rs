//! The program of an entry instance.

fn main() {}
