//! The codec of frames.

mod frames;
mod random;
mod table;
