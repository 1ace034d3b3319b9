//! t
mod commander;
mod http;
mod status;
mod voter;
