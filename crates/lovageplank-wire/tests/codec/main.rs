//! Tests of the frame codec.

mod frames;
mod random;
mod table;
